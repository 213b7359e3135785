"""The entry daemon: drivers around the decision logic."""
