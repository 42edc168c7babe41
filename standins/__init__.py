"""Small stand-ins for the systems around radishfield: engines, services, platform."""
