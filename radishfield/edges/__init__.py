"""The edges: callers, targets, the platform, operators and peers."""

from radishfield.edges._platform import HttpPlatform, PlatformSettings

__all__ = ["HttpPlatform", "PlatformSettings"]
