"""Daemon processes built on the library."""
