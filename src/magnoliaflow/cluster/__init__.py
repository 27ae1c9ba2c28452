"""What processes agree on: leases, profiles, links between peers."""
