"""The fleet: membership, profiles, leases, claims and leaving."""
