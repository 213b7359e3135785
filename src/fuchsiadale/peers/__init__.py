"""gRPC protocol between entry processes: messages, client and server."""
