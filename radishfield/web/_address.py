"""Addresses as ``host:port``."""

import re

_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_IP_ADDRESS = re.compile(rf"(({_OCTET})(?:\.{_OCTET}){{3}}):([1-9][0-9]{{0,4}})")
_FIRST_OCTETS = range(1, 224)
"""The others stand for no single host: this network, groups and reserved addresses."""
MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port; raise `ValueError` where there is no port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def split_ip_address(address: str) -> tuple[str, int]:
    """Return the IPv4 host and port of an address that another program has written.

    Sockets and the HTTP library raise various exceptions for hosts and ports that are
    not of this form, and some of them look names up.

    Raises
    ------
    ValueError
        The text is not of this form.
    """
    found = _IP_ADDRESS.fullmatch(address)
    if found is None or int(found[2]) not in _FIRST_OCTETS or int(found[3]) > MAX_PORT:
        raise ValueError(f"{address[:64]!r} is no IPv4 address with a port")
    return found[1], int(found[3])
