"""Stand-ins for the platform, its workers and clients, on loopback addresses."""
