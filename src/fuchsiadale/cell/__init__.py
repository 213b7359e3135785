"""Daemon of a scheduling cell, which runs jobs of several steps on workers."""
