"""Small stand-ins for the platform and searchers, for tests and demos."""
