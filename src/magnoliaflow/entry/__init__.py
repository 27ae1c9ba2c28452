"""Entry process: receives callers' requests and sends them to engines."""
