"""The daemon that schedules jobs of steps on the users' platform."""
