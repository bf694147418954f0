"""The entry role: what callers talk to."""
