"""Settings of an entry process, and the configuration that operators apply."""
