"""Serving system for reclaimable machines.

Decisions are made in the library packages; the daemons only run them.
"""

__version__ = "0.1.0"
