"""HTTP requests to targets: choice of connection, and outcome of a failure.

Each stream or call uses a new connection, and only short control calls are
pooled.  A pooled connection may be stalled, may be closed by the target while
the request is in transit, and may hold bytes of an earlier answer.  The first
delays a caller by the idle timeout.  The second makes the outcome of a request
that may not be retried unknown without need.  The third gives one caller
another's answer.  A new connection costs one round trip per request
(docs/PIPELINE.md has the figure), which is negligible for a stream of many tokens.

httpcore itself retries nothing once a byte was written: it retries only if a
connection was lost before the request was sent on it.  It swallows write errors,
which appear as a disconnect on the following read, so only errors of connecting
and of the pool's queue count as "not run".
"""

from contextlib import AsyncExitStack
from dataclasses import dataclass

import httpcore
import trio
from expression import Error, Ok, Result

from radishfield.core import Fault, Outcome, ResultCode, fault
from radishfield.edges._target_network import TargetNetwork

# An entry host has about 90 streams at the intended load, so this bounds a leak
# or a flood of callers, not normal operation.
MAX_STREAM_CONNECTIONS = 1024
MAX_CONTROL_CONNECTIONS = 256
# Idle control connections are closed before a middlebox is likely to drop them.
# Load reports, fetched about every second, keep a connection in use.
CONTROL_KEEPALIVE_S = 15.0


@dataclass(slots=True, frozen=True)
class TargetTimeouts:
    """Limits on waiting for a target, in seconds.

    Attributes
    ----------
    answer_s : float
        From the start of a stream to the headers of its answer, which some engines
        send only with the first token.
    first_token_s : float
        From the start of a stream to its first token.  The prefill of a long
        prompt takes seconds and must not count as a stalled stream.
    idle_s : float
        Between tokens after the first: many times the expected 43 ms.
    control_s : float
        For a complete load report, order or other control call.
    """

    connect_s: float = 1.0
    answer_s: float = 10.0
    first_token_s: float = 10.0
    idle_s: float = 2.0
    control_s: float = 2.0


class TargetConnections:
    """HTTP connections to targets: a new one per request, or pooled ones."""

    __slots__ = ("fresh", "pooled")

    def __init__(self):
        network = TargetNetwork()
        self.fresh = httpcore.AsyncConnectionPool(
            max_connections=MAX_STREAM_CONNECTIONS,
            max_keepalive_connections=0,
            network_backend=network,
        )
        self.pooled = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONTROL_CONNECTIONS,
            keepalive_expiry=CONTROL_KEEPALIVE_S,
            network_backend=network,
        )


@dataclass(slots=True, frozen=True)
class Exchange:
    """One request to a target."""

    method: str
    url: str
    content: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()


async def send_request(
    stack: AsyncExitStack,
    pool: httpcore.AsyncConnectionPool,
    exchange: Exchange,
    connect_s: float,
    answer_s: float,
) -> Result[httpcore.Response, Fault]:
    """Send a request and wait for the headers of its answer.

    The answer is closed with the stack.  If it was not read to its end, its
    connection is closed too.
    """
    timeouts = {"connect": connect_s, "pool": connect_s, "write": answer_s}
    with trio.move_on_after(answer_s):
        try:
            response = await stack.enter_async_context(
                pool.stream(
                    exchange.method,
                    exchange.url,
                    headers=list(exchange.headers),
                    content=exchange.content,
                    extensions={"timeout": timeouts},
                )
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return Error(_not_run(ResultCode.CONNECT_FAILED, str(error)))
        except httpcore.PoolTimeout:
            return Error(
                _not_run(ResultCode.CONNECT_FAILED, "no free connection in the pool")
            )
        except (httpcore.LocalProtocolError, httpcore.UnsupportedProtocol) as error:
            return Error(_not_run(ResultCode.BAD_HEADER, str(error)))
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            return Error(fault(ResultCode.STREAM_BROKEN, str(error)))
        except httpcore.RemoteProtocolError as error:
            return Error(broken_answer(error))
        return Ok(response)
    return Error(fault(ResultCode.STREAM_SILENT, f"no answer within {answer_s} s"))


async def read_answer_body(
    response: httpcore.Response, max_bytes: int
) -> Result[bytes, Fault]:
    """Read an answer's body, up to a number of bytes."""
    chunks: list[bytes] = []
    size = 0
    try:
        async for chunk in response.aiter_stream():
            size += len(chunk)
            if size > max_bytes:
                detail = f"answer is larger than {max_bytes} bytes"
                return Error(fault(ResultCode.ANSWER_TOO_LARGE, detail))
            chunks.append(chunk)
    except httpcore.NetworkError as error:
        return Error(fault(ResultCode.STREAM_BROKEN, str(error)))
    except httpcore.RemoteProtocolError as error:
        return Error(broken_answer(error))
    return Ok(b"".join(chunks))


def header_of(response: httpcore.Response, name: bytes) -> bytes:
    """Return a header's value, or empty bytes; the name is in lower case."""
    for key, value in response.headers:
        if key.lower() == name:
            return value
    return b""


def broken_answer(error: httpcore.RemoteProtocolError) -> Fault:
    """Distinguish a lost connection from an answer that is not HTTP.

    h11 reports both as protocol errors.  Only the first justifies a retry at the
    same target.
    """
    text = str(error)
    if "disconnected" in text or "closed" in text or "incomplete" in text:
        return fault(ResultCode.STREAM_BROKEN, text)
    return fault(ResultCode.MALFORMED_ANSWER, text)


def _not_run(code: ResultCode, detail: str) -> Fault:
    return Fault(code, detail, proven_outcome=Outcome.NOT_RUN)
