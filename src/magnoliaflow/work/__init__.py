"""Data types of calls and requests, and the rules of claims."""
