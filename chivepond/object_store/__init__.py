"""The platform's object API, as the system uses it."""
