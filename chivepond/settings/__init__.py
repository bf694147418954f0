"""Node and gateway settings, and the deployment document, checked on load."""
