"""Stand-ins for the platform and the backend servers, used by tests."""
