"""Selects what is forwarded to plain services and back to their callers.

Headers are forwarded by an allow list.  A block list would let through any
credential header missing from it; an allow list at worst drops a harmless header.
"""

import hashlib
import re
from collections.abc import Iterable
from dataclasses import dataclass

from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, ServiceAnswer, fault

SERVICES_PREFIX = b"/v1/services/"
SERVICE_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
MAX_PATH_BYTES = 4096
FORWARDED_TO_SERVICE = frozenset(
    {
        "accept",
        "accept-encoding",
        "accept-language",
        "content-encoding",
        "content-language",
        "content-type",
        "if-match",
        "if-modified-since",
        "if-none-match",
        "if-unmodified-since",
        "prefer",
        "range",
        "traceparent",
        "tracestate",
        "user-agent",
    }
)
FORWARDED_TO_CALLER = frozenset(
    {
        "accept-ranges",
        "cache-control",
        "content-disposition",
        "content-encoding",
        "content-language",
        "content-range",
        "etag",
        "expires",
        "last-modified",
        "link",
        "preference-applied",
        "vary",
    }
)
DEFAULT_TYPE = b"application/octet-stream"

_PATH = re.compile(rb"/[A-Za-z0-9\-._~!$&'()*+,;=:@%/]*(?:\?[\x21-\x7e]*)?")
_INVALID_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")


@dataclass(slots=True, frozen=True)
class ServicePath:
    """The profile that is called, and the path and query for its service."""

    profile: str
    path: str


def read_service_path(raw_path: bytes, query: bytes) -> Result[ServicePath, Fault]:
    """Split the path of a call; refuse paths that a service could misread.

    A ``..`` that the service resolves would reach outside the part of the service
    that the profile covers.
    """
    name, slash, rest = raw_path.removeprefix(SERVICES_PREFIX).partition(b"/")
    path = slash + rest or b"/"
    if query:
        path += b"?" + query
    segments = re.split(rb"/|%2[fF]", rest.replace(b"%2e", b".").replace(b"%2E", b"."))
    if (
        len(path) > MAX_PATH_BYTES
        or not re.fullmatch(rb"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", name)
        or not _PATH.fullmatch(path)
        or _INVALID_ESCAPE.search(path)
        or b".." in segments
        or b"." in segments
    ):
        return Error(
            fault(ResultCode.UNKNOWN_ROUTE, "not a valid path of a plain service")
        )
    return Ok(ServicePath(name.decode(), path.decode("ascii")))


def headers_to_service(
    headers: Iterable[tuple[bytes, bytes]],
) -> tuple[tuple[str, str], ...]:
    """Return the headers that are forwarded to a service."""
    decoded = (
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in headers
    )
    return tuple(item for item in decoded if item[0] in FORWARDED_TO_SERVICE)


def headers_to_caller(answer: ServiceAnswer) -> tuple[bytes, list[tuple[bytes, bytes]]]:
    """Return a service answer's content type, and its other safe headers."""
    content_type = DEFAULT_TYPE
    forwarded: list[tuple[bytes, bytes]] = []
    for name, value in answer.headers:
        if not _HEADER_VALUE.fullmatch(value):
            continue
        if name.lower() == "content-type":
            content_type = value.encode("latin-1")
        elif name.lower() in FORWARDED_TO_CALLER:
            forwarded.append((name.lower().encode(), value.encode("latin-1")))
    return content_type, forwarded


def call_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest of everything that determines a call's effect."""
    digest = hashlib.sha256(f"{method} {path}\n".encode())
    digest.update(body)
    return digest.hexdigest()
