"""Pure decision logic: no I/O, driven by a clock and by events."""
