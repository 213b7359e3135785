"""Process settings and the operators' configuration."""
