"""What nodes keep in step: configuration, membership, claims, status."""
