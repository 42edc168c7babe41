"""What the cases share: configurations, the operator's writes, clients, waiting."""

import asyncio
import time

from review.common.wire import call, call_json

ZONES = ["a", "b", "c"]
HOST = "review.example"
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
ENGINE = {
    "slots": 96,
    "kvCapacity": 50000,
    "kvTokenBytes": 1836000,
    "linkMbps": 400000.0,
    "stride": 3,
    "models": [{"name": "m", "pace": 1.0, "loadS": 14.0, "warmS": 1.0}],
    "step_ms": 1.02,
    "per_seq_ms": 0.01428,
    "context_per_k": 0.01912,
    "read_per_s": 105000.0,
    "pairs_per_m": 0.309,
    "chunk": 512,
    "report_lag_ms": 200.0,
    "loadsPerS": 0.0,
    "loads_at_once": 5,
    "delays": [],
    "usual": {"prompt": 774, "answer": 203},
    "layers": 80,
    "layerMb": 1750.0,
    "actBytes": 91800,
    "pipeMbps": 18000.0,
    "kinds": [{"name": "whole", "mb": 210000.0, "pace": 1.0, "readX": 1.0}],
}
PORTAL = {"name": "portal", "healthPath": "/healthz", "maxConns": 110}
POOL = {"name": "pool", "healthPath": "/healthz", "maxConns": 1078, "engine": ENGINE}
READ_ROUTE = {
    "name": "read",
    "host": HOST,
    "pathPrefix": "/read/",
    "kind": "idempotent",
    "timeoutMs": 1500,
    "sloMs": 300,
    "priority": 2,
    "service": "portal",
    "maxAttempts": 2,
    "public": False,
    "sticky": False,
    "resumable": False,
}
STREAM_ROUTE = {
    "name": "review",
    "host": HOST,
    "pathPrefix": "/review/",
    "kind": "streaming",
    "timeoutMs": 20000,
    "sloMs": 500,
    "priority": 1,
    "service": "pool",
    "maxAttempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "gapAimMs": 200,
}


def config(version, routes, services, keys_by_tenant):
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": [
            {"name": name, "apiKeys": keys} for name, keys in keys_by_tenant.items()
        ],
    }


async def write_config(store, value):
    """Write as the operator does; return when the store has acknowledged it."""
    body = {"metadata": {"name": "main"}, "spec": value}
    while True:
        status, _ = await call_json(store, "PUT", "/objects/config/main", body, 0.5)
        if status == 404:
            path = "/objects/config"
            status, _ = await call_json(store, "POST", path, body, 0.5)
        if status in (200, 201):
            return time.time()
        await asyncio.sleep(0.02)


async def wait_ready(routers, limit_s=30.0):
    """Return whether all routers say in time that they are ready."""
    until = time.time() + limit_s
    for router in routers:
        while (await call(router.ready, "GET", "/readyz", (), b"", 1.0))[0] != 200:
            if time.time() > until:
                return False
            await asyncio.sleep(0.1)
    return True


def request_headers(name, key, deadline_s, **more):
    """Return the headers of a client's request."""
    headers = {
        "host": HOST,
        "x-request-id": name,
        "x-deadline-ms": str(int(deadline_s * 1000)),
        "authorization": f"Token {key}",
    }
    return list((headers | more).items())
