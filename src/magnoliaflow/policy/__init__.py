"""Routing, admission and scaling policies, free of I/O and clocks."""
