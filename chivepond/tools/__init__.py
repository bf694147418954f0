"""Thin programs over the library."""
