"""Random faults against a whole deployment, with every answer checked."""
