"""Settings of a node and the document of a deployment, checked on load."""
