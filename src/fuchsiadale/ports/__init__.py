"""Interfaces of the platform's services, and HTTP clients of some of them."""
