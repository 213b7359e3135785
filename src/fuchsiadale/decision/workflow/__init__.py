"""Decisions about jobs of dependent steps: queueing, refusing, placing, recovery."""
