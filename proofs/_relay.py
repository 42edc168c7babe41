"""A TCP relay on loopback whose open connections can go silent for good.

It stands for whatever between two ends loses track of a connection: bytes are
no longer passed on, nothing is closed, and new connections work.
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
        """Return where the relay listens."""
        return f"127.0.0.1:{self._server.getsockname()[1]}"

    def silence_open_connections(self) -> None:
        """Pass nothing more on over what is open now."""
        self._generation += 1
        self.silenced += 1

    def close(self) -> None:
        """Close everything."""
        self._server.close()
        for each in self._sockets:
            each.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._server.accept()
                far = socket.create_connection(self._target)
            except OSError:
                return
            self._sockets += [near, far]
            for one, other in ((near, far), (far, near)):
                pump = threading.Thread(
                    target=self._pump, args=(one, other, self._generation), daemon=True
                )
                pump.start()

    def _pump(self, one: socket.socket, other: socket.socket, generation: int) -> None:
        while True:
            try:
                data = one.recv(65536)
                if generation != self._generation:
                    # Neither passed on nor closed: the other end waits for ever.
                    continue
                if not data:
                    other.shutdown(socket.SHUT_WR)
                    return
                other.sendall(data)
            except OSError:
                return
