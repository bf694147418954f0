"""Decisions under load: pure code, with time and randomness passed in."""
