"""Schedules jobs of dependent steps: queueing, rejection, placement and recovery."""
