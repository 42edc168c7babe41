"""Builds a configuration and target entries as the users' store holds them."""

HOST_NAME = "h.example"
KEY = "key-of-w1"


def request_headers(
    request_id: str, key: str | None = KEY, deadline_s: float | None = None
) -> dict[str, str]:
    """Return the request headers that callers of the users' platform send."""
    headers = {"host": HOST_NAME, "x-request-id": request_id}
    if key is not None:
        headers["authorization"] = f"Token {key}"
    if deadline_s is not None:
        headers["x-deadline-ms"] = str(int(deadline_s * 1000))
    return headers


def route(name: str, kind: str, service: str, **changes) -> dict:
    """Return a route below ``/NAME/``."""
    values = {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 4000,
        "sloMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "resumable": kind == "streaming",
        "gapAimMs": 200,
    }
    return values | changes


ENGINE = {
    "slots": 96,
    "kvCapacity": 50000,
    "kvTokenBytes": 1836000,
    "models": [{"name": "m", "loadS": 0.0}],
    "step_ms": 1.02,
    "per_seq_ms": 0.01428,
    "context_per_k": 0.01912,
    "read_per_s": 105000.0,
    "loads_at_once": 5,
    "usual": {"prompt": 774, "answer": 203},
    "layers": 80,
    "layerMb": 1750.0,
    "kinds": [
        {"name": "half", "mb": 110000.0, "pace": 1.0, "readX": 1.0},
        {"name": "whole", "mb": 210000.0, "pace": 1.0, "readX": 1.0},
    ],
}


def roomy_engine(streams: int) -> dict:
    """Return an engine whose targets of kind ``whole`` hold so many usual streams.

    The rest beside the layers is filled to 97 % at most.
    """
    tokens = sum(ENGINE["usual"].values())
    stream_mb = tokens * ENGINE["kvTokenBytes"] / 1e6
    layers_mb = ENGINE["layers"] * ENGINE["layerMb"]
    mb = layers_mb + (streams + 0.5) * stream_mb / 0.97
    return ENGINE | {"kinds": [{"name": "whole", "mb": mb, "pace": 1.0, "readX": 1.0}]}


def config(version: int = 1, **changes) -> dict:
    """Return a configuration with one streaming and three plain routes."""
    values = {
        "version": version,
        "routes": [
            route("stream", "streaming", "pool"),
            route("read", "idempotent", "portal"),
            route("post", "non_idempotent", "portal", maxAttempts=1),
            route("open", "idempotent", "portal", public=True),
        ],
        "services": [
            {"name": "pool", "healthPath": "/h", "maxConns": 100, "engine": ENGINE},
            {"name": "portal", "healthPath": "/h", "maxConns": 100},
        ],
        "limits": {"maxBodyBytes": 100_000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "w1", "apiKeys": [KEY]}],
    }
    return values | changes


def target_entry(service: str, address: str, **changes) -> dict:
    """Return the entry of a ready target."""
    values = {
        "service": service,
        "addr": address,
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
    }
    return values | changes


def layered_entry(address: str, first: int, end: int) -> dict:
    """Return the entry of a layered target, without layers if ``end`` is 0."""
    held = {"from": first, "target": end, "version": 1} if end else None
    kind = "half" if end - first < 80 else "whole"
    return target_entry("pool", address, kind=kind, layers=held)
