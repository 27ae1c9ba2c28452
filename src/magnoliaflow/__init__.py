"""Serving system for reclaimable machines.

The library holds the decisions; the daemons are thin shells around it.
"""

__version__ = "0.1.0"
