"""Log events, metrics and reports on service-level objectives."""
