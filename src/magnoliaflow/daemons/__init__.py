"""Thin processes around the library."""
