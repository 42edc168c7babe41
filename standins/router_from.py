"""Runs a router that opens its connections from a given source address.

Usage: ``python -m standins.router_from ADDRESS --settings FILE``.  Relays use the
source address to identify the router whose bytes they forward.
"""

import runpy
import sys

import trio

_open_tcp_stream = trio.open_tcp_stream


async def _open_from_address(*args, **options) -> trio.SocketStream:
    return await _open_tcp_stream(*args, **options | {"local_address": SOURCE_ADDRESS})


SOURCE_ADDRESS = sys.argv.pop(1)
trio.open_tcp_stream = _open_from_address
runpy.run_module("radishfield.forwarding", run_name="__main__", alter_sys=True)
