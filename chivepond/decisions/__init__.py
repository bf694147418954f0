"""Load decisions: pure code that takes time and randomness as arguments."""
