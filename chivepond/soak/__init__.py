"""Soak tests: random faults against a deployment, every answer checked."""
