"""The daemon of an entry host, which connects the decision logic to the network."""
