"""Small stand-ins for what surrounds radishfield: engines, services, platform."""
