"""Stub of the roll-out verdict, replaced by branch rollpolicy."""
