"""HTTP listeners, served by hypercorn, for callers, operators and metrics."""

import logging
import socket

import trio
from hypercorn.config import Config, Sockets
from hypercorn.trio import serve

# A send to a caller whose connection accepts no more bytes cannot be cancelled.  The
# kernel ends the connection after this long without progress, also where a middlebox
# has dropped the connection and no packet comes back at all.
SEND_TIMEOUT_MS = 30_000
# Headers must be complete within this time after the connection was opened.
KEEP_ALIVE_TIMEOUT_S = 15
TLS_HANDSHAKE_TIMEOUT_S = 5
BACKLOG = 1024
MAX_HEADER_BYTES = 32 << 10


class ListenerConfig(Config):
    """Hypercorn's settings, with limits on the resources that a connection holds."""

    # Over HTTP/2 a stream that was aborted would end like a complete one.
    alpn_protocols = ["http/1.1"]
    keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    ssl_handshake_timeout = TLS_HANDSHAKE_TIMEOUT_S
    backlog = BACKLOG
    h11_max_incomplete_size = MAX_HEADER_BYTES
    include_server_header = False
    head_timeout_s = float(KEEP_ALIVE_TIMEOUT_S)
    """Time for the head of a request, from its first byte."""

    @classmethod
    def from_settings(
        cls, bind: str, tls_cert: str = "", tls_key: str = "", drain_s: float = 30.0
    ) -> "ListenerConfig":
        """Return the settings of one listener.

        Parameters
        ----------
        drain_s : float
            Seconds that requests in flight get to finish after the listener was
            stopped; hypercorn's default of 3 s would abort longer streams.
        """
        config = cls()
        config.bind = [bind]
        config.certfile = tls_cert or None
        config.keyfile = tls_key or None
        config.graceful_timeout = drain_s
        config.errorlog = logging.getLogger("radishfield.http")
        config.accesslog = None
        return config

    def create_sockets(self) -> Sockets:
        """Open the sockets; connections inherit their send timeout."""
        sockets = super().create_sockets()
        for opened in sockets.secure_sockets + sockets.insecure_sockets:
            opened.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SEND_TIMEOUT_MS
            )
        return sockets


async def serve_app(
    app,
    config: ListenerConfig,
    stop: trio.Event | None = None,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until ``stop`` is set and its requests have ended.

    ``task_status`` reports the addresses, such as ``http://127.0.0.1:8080``,
    once the listener is open.
    """
    stop = trio.Event() if stop is None else stop
    await serve(app, config, shutdown_trigger=stop.wait, task_status=task_status)
