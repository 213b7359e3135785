"""Benchmarks of the decisions, the policies and the whole path."""
