"""``python -m standins.router_from ADDRESS --settings FILE``: a router's other start.

It opens its connections from the address: relays tell by it which router's bytes they
pass on.
"""

import runpy
import sys

import trio

_open_tcp_stream = trio.open_tcp_stream


async def _open_from_address(*args, **changes) -> trio.SocketStream:
    return await _open_tcp_stream(*args, **changes | {"local_address": SOURCE})


SOURCE = sys.argv.pop(1)
trio.open_tcp_stream = _open_from_address
runpy.run_module("radishfield.forwarding", run_name="__main__", alter_sys=True)
