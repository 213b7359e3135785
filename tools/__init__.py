"""Tools for developers; not part of the installed package."""
