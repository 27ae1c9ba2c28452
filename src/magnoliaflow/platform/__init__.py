"""Adapter to the platform's names, formats and calls; decides nothing."""
