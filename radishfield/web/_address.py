"""Addresses as ``host:port``."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port; raise `ValueError` where there is no port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
