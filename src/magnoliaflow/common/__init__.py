"""Types and utilities shared by all packages."""
