"""Benchmarks of decision time, memory, request latency and scheduling policies."""
