"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio
import json

MAX_HEAD = 64 << 10


async def read_head(reader):
    """Return the first line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, whole=True):
    """Return a body by its length or chunks; None if it ends early."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    return body
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        return b"" if whole else await reader.read()
    except (asyncio.IncompleteReadError, ValueError, OSError):
        return None


def answer(status, headers=(), body=b"", reason="X"):
    """Return a complete answer with a length."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"content-length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def call(address, method, path, headers=(), body=b"", limit_s=5.0, source=None):
    """Send one request over a new connection.

    Returns status, headers and body; the status is 0 if there was no complete answer,
    and the body then holds why.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            sent = list(headers)
            if body or method in ("POST", "PUT"):
                sent.append(("content-length", str(len(body))))
            if not any(name.lower() == "host" for name, _ in sent):
                sent.append(("host", address))
            lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in sent]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return 0, {}, b"connection ended"
            status = int(head[0].split()[1])
            found = await read_body(reader, head[1], whole=False)
            if found is None:
                return 0, head[1], b"answer cut"
            return status, head[1], found
    except TimeoutError:
        return 0, {}, b"no answer in time"
    except OSError as problem:
        return 0, {}, repr(problem).encode()
    finally:
        if writer is not None:
            writer.close()


async def call_json(address, method, path, value=None, limit_s=2.0):
    """Call an API with JSON; return the status and the decoded answer."""
    body = b"" if value is None else json.dumps(value).encode()
    status, _, text = await call(address, method, path, (), body, limit_s)
    try:
        return status, json.loads(text)
    except ValueError:
        return status, None
