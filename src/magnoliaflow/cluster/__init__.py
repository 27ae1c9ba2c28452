"""State shared by processes: leases, profiles, engines and peer links."""
