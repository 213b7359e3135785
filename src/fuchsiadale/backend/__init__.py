"""Clients of the backend servers that run tasks."""
