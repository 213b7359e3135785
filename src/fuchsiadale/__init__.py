"""Cluster scheduler for requests, batch jobs, gangs and services."""
