"""Decisions as pure code: no I/O, no clock."""
