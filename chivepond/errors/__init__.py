"""Error kinds: ``message`` says what failed, ``remedy`` what to do."""
