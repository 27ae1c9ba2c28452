"""Rows and rules of requests and claims."""
