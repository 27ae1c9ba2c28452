"""Adapter to the platform's names, formats and calls; no decisions."""
