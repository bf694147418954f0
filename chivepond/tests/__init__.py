"""The tests."""
