"""Serves a stand-in as a process until it receives a stop signal."""

import signal

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

# Time to send the last answers after all requests have ended.
CLOSE_S = 2.0
KEEP_ALIVE_S = 60.0


async def serve_until_signal(app, port: int) -> None:
    """Serve until SIGTERM or SIGINT, then until the app's ``drain`` has ended."""
    config = Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.loglevel = "WARNING"
    stop = trio.Event()

    async def run() -> None:
        await serve(app, config, shutdown_trigger=stop.wait)

    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            if hasattr(app, "run"):
                await nursery.start(app.run)
            nursery.start_soon(run)
            await anext(signals)
            await app.drain()
            stop.set()
            nursery.cancel_scope.deadline = trio.current_time() + CLOSE_S
