"""Front doors for callers."""
