"""The platform's ingress and its clients, as PROTOCOL.md describes them."""

import asyncio
import random
import secrets

from lab.wire import call, read_chunks, read_head

DEADLINE_S = 20.0
EVENT_GAP_S = 2.0


class Ingress:
    """Asks each router once a second whether it is ready, and picks one of these."""

    def __init__(self, routers):
        self._misses = dict.fromkeys(routers, 0)
        self.routers = routers

    async def watch(self):
        """Keep the rotation until cancelled."""
        while True:
            await asyncio.gather(*(self._ask(router) for router in self.routers))
            await asyncio.sleep(1.0)

    async def _ask(self, router):
        try:
            status, _, _ = await call(router.ready, "GET", "/readyz", limit_s=0.9)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = 0
        if status == 200:
            self._misses[router] = 0
            router.in_rotation = True
            return
        self._misses[router] += 1
        if self._misses[router] >= 2:
            router.in_rotation = False

    def pick(self, zone):
        """Return a router of the zone in rotation, or of another zone, or any."""
        ready = [router for router in self.routers if router.in_rotation]
        near = [router for router in ready if router.zone == zone]
        return random.choice(near or ready or self.routers)


class StreamTries:
    """The attempts of one client at a stream, with at most one retry."""

    def __init__(self, ingress, record, zone, route, prefix, key):
        self._ingress = ingress
        self._key = key
        self._prefix = prefix
        self._record = record
        self._route = route
        self._subject = secrets.token_hex(16)
        self._zone = zone

    async def run(self):
        """Return how the last attempt ended, and when the first was sent."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        deadline = sent_at + DEADLINE_S
        end, retry_s = "", 0.0
        for _ in range(2):
            end, retry_s = await self._try(deadline - loop.time())
            left_s = deadline - loop.time()
            if end == "served" or retry_s > left_s / 3 or left_s < 0.1:
                break
            await asyncio.sleep(retry_s)
        return end, sent_at

    async def _try(self, left_s):
        name = secrets.token_hex(8)
        router = self._ingress.pick(self._zone)
        end, retry_s = "no connection", 0.0
        try:
            async with asyncio.timeout(left_s):
                end, retry_s = await self._exchange(router, name, left_s)
        except TimeoutError:
            end = "deadline"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        self._record(f"client {name} router {router.id} end {end}")
        return end, retry_s

    async def _exchange(self, router, name, left_s):
        host, port = router.front.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            body = f"review {self._subject}".encode()
            lines = [
                f"POST /{self._route}/a HTTP/1.1",
                "Host: pool.example",
                f"X-Request-Id: {name}",
                "X-Model: m",
                "X-Token-Counts: 800,240",
                f"X-Prompt-Prefix: {self._prefix},{self._subject[:8]}:760",
                f"X-Deadline-Ms: {int(left_s * 1000)}",
                f"Authorization: Token {self._key}",
                f"Content-Length: {len(body)}",
            ]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            head = await read_head(reader)
            if head is None:
                return "cut before an answer", 0.0
            status = int(head[0].split(" ")[1])
            if status != 200:
                retry_s = float(head[1].get("retry-after", "0") or 0)
                return f"status {status}", retry_s
            return await self._read_events(reader), 0.0
        finally:
            writer.close()

    async def _read_events(self, reader):
        received = b""
        try:
            chunks = aiter(read_chunks(reader))
            while True:
                async with asyncio.timeout(EVENT_GAP_S):
                    received += await anext(chunks)
        except StopAsyncIteration:
            pass
        except TimeoutError:
            return "silent"
        except (ValueError, ConnectionError, asyncio.IncompleteReadError):
            return "cut in the stream"
        ids = [
            int(line[3:]) for line in received.split(b"\n") if line.startswith(b"id:")
        ]
        return "served" if ids == list(range(1, ids[-1] + 1)) else "wrong events"


async def send_plain(router, record, path, key, limit_s=3.0):
    """Send a router one request of an idempotent route, without a retry.

    Returns its id and how it ended.
    """
    name = secrets.token_hex(8)
    headers = [
        ("Host", "portal.example"),
        ("X-Request-Id", name),
        ("X-Deadline-Ms", str(int(limit_s * 1000))),
        ("Authorization", f"Token {key}"),
    ]
    try:
        status, _, _ = await call(router.front, "GET", path, headers, limit_s=limit_s)
        end = f"status {status}"
    except TimeoutError:
        end = "deadline"
    except (OSError, asyncio.IncompleteReadError):
        end = "no answer"
    record(f"client {name} key {key} router {router.id} end {end}")
    return name, end
