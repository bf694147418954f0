"""Costs of a node, measured at several sizes, and the slopes they give."""
