"""The entry process on the users' platform: its state and systems."""
