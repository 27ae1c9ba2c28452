"""Handlers and systems that serve requests on the core."""
