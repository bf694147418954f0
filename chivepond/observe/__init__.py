"""What the system says of itself: events, metrics, objectives."""
