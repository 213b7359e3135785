"""Tests of fuchsiadale."""
