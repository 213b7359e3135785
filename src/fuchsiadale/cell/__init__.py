"""Daemon of a cell, which schedules multi-step jobs on workers of the users' platform.

A cell is a group of processes; one of them owns the cell and schedules its jobs.
"""
