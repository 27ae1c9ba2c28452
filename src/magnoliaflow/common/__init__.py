"""Types and tools that every other package uses."""
