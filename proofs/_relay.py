"""A TCP relay on loopback that can silence its open connections permanently.

It simulates a middlebox that loses the state of a connection: bytes are no longer
forwarded, nothing is closed, and new connections work.
"""

import socket
import threading


class Relay:
    """Forwards connections to an address, each in threads of its own."""

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._server = socket.create_server(("127.0.0.1", 0))
        self._generation = 0
        self._sockets: list[socket.socket] = []
        self.silenced = 0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the address on which the relay listens."""
        return f"127.0.0.1:{self._server.getsockname()[1]}"

    def silence_open_connections(self) -> None:
        """Stop forwarding on the connections that are open now."""
        self._generation += 1
        self.silenced += 1

    def close(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for connection in self._sockets:
            connection.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._server.accept()
                upstream = socket.create_connection(self._target)
            except OSError:
                return
            self._sockets += [client, upstream]
            for source, sink in ((client, upstream), (upstream, client)):
                pump = threading.Thread(
                    target=self._pump,
                    args=(source, sink, self._generation),
                    daemon=True,
                )
                pump.start()

    def _pump(
        self, source: socket.socket, sink: socket.socket, generation: int
    ) -> None:
        while True:
            try:
                data = source.recv(65536)
                if generation != self._generation:
                    # Neither forwarded nor closed, so the other end waits forever.
                    continue
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                return
