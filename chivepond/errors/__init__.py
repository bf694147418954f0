"""Error kinds; each message says what happened, each remedy what to do."""
