"""HTTP/1.1 over asyncio streams: a small server and a client call."""

import asyncio
import json

REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected Request",
    503: "Service Unavailable",
}


class Request:
    """A request that was read whole."""

    __slots__ = ("body", "headers", "method", "target")

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the first line and the headers by lower-case name; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader):
    """Return the next request of a connection, or None."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    headers = head[1]
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        async for chunk in read_chunks(reader):
            body += chunk
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


async def read_chunks(reader):
    """Yield the chunks of a body; raise `IncompleteReadError` if it breaks off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return
        yield chunk


def answer(status, headers=(), body=b""):
    """Return a whole answer as it is sent."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def json_answer(status, value, headers=()):
    """Return a whole answer with a JSON body."""
    kind = ("Content-Type", "application/json")
    return answer(status, [kind, *headers], json.dumps(value).encode())


class Server:
    """Serves the requests of each connection one after the other.

    ``serve(request, writer)`` sends the answer itself, and returns whether the
    connection is kept.
    """

    def __init__(self, host, serve):
        self._host = host
        self._serve = serve
        self._server = None
        self._writers = set()
        self.address = ""

    async def start(self, port=0):
        """Listen on a free port, or on the one given."""
        self._server = await asyncio.start_server(self._connected, self._host, port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def _connected(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self._serve(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def crash(self):
        """Refuse new connections and reset the open ones, as the end of a process."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def call(address, method, target, headers=(), body=b"", limit_s=2.0):
    """Send one request over a new connection; return status, headers and body."""
    host, port = address.rsplit(":", 1)
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if not any(name == "Host" for name, _ in headers):
                lines.append(f"Host: {address}")
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("no answer")
            status = int(head[0].split(" ")[1])
            size = int(head[1].get("content-length", "0"))
            return status, head[1], await reader.readexactly(size)
        finally:
            writer.close()
