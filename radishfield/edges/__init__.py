"""The edges: callers, targets, the platform, operators and peers."""
