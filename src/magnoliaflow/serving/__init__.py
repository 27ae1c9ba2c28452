"""Input handlers and systems of the core that serve requests."""
