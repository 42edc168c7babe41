"""Tests damaged frames between hosts and damaged answers of engines."""

import random
import subprocess
import sys

import msgspec
import trio
import trio.testing
from expression import Ok, Result
from hypothesis import given
from hypothesis import strategies as st

from proofs._profiles import ci_profile
from radishfield.core import (
    Hop,
    LayerRange,
    Outcome,
    Receipt,
    Route,
    Stage,
    StreamStart,
    Target,
    Token,
    TrioClock,
)
from radishfield.edges import EngineTargets, PeerKey, PeerNetwork, PeerSettings
from radishfield.edges._target_http import TargetTimeouts
from standins.peer_network import MemoryNetwork

KEYS = (PeerKey(1, b"a secret of 16 bytes"),)


def test_damaged_message_is_refused_with_a_result_code():
    """The decoders refuse a damaged message with a result code, without a crash.

    This runs in a separate process: the codec can end a process on damaged input
    without an exception that Python could catch.
    """
    run = subprocess.run(
        [sys.executable, "-m", "proofs._damage"], capture_output=True, timeout=60
    )
    assert run.returncode == 0, run.stderr.decode()[-2000:]


class NoisyNetwork(MemoryNetwork):
    """A network that adds damaged copies, a repeat and noise to each datagram."""

    __slots__ = ("rng",)

    def __init__(self, seed):
        super().__init__(seed)
        self.rng = random.Random(seed)

    def deliver(self, data, sender, address):
        bad = bytearray(data)
        bad[self.rng.randrange(len(bad))] ^= 1 << self.rng.randrange(8)
        truncated = data[: self.rng.randrange(len(data))]
        noise = self.rng.randbytes(40)
        for each in (data, bytes(bad), truncated, data):
            super().deliver(each, sender, address)
        super().deliver(noise, "nobody:1", address)


@ci_profile(25)
@given(seed=st.integers(0, 10_000))
def test_damaged_repeated_and_foreign_datagrams_change_nothing(seed):
    """Hosts see each other, and nobody else, whatever else reaches them.

    Each datagram between two hosts is also delivered damaged, a second time,
    and as noise from an address of nobody.
    """
    heard = []

    async def main():
        network = NoisyNetwork(seed)
        async with trio.open_nursery() as nursery:
            hosts = [_peer(network, number) for number in range(2)]
            hosts[1].hear("topic", lambda sender, payload: heard.append(payload))
            for host in hosts:
                await nursery.start(host.run)
            await trio.sleep(5)
            await hosts[0].tell(["h1"], "topic", b"news")
            await trio.sleep(5)
            for host in hosts:
                assert {member.id for member in host.members()} == {"h0", "h1"}
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert set(heard) == {b"news"}


@ci_profile(40)
@given(noise=st.binary(min_size=1, max_size=200), seed=st.integers(0, 99))
def test_noise_on_a_connection_is_answered_by_its_end(noise, seed):
    """A stranger's connection is closed in time, and questions pass beside it."""

    async def main():
        network = MemoryNetwork(seed)
        async with trio.open_nursery() as nursery:
            hosts = [_peer(network, number) for number in range(2)]

            async def answer(sender, payload):
                return Ok(payload)

            hosts[1].answer("topic", answer)
            for host in hosts:
                await nursery.start(host.run)
            await trio.sleep(5)
            stranger = await network.transport("stranger:1").connect("h1:1")
            await stranger.send_all(noise)
            asked = await hosts[0].ask("h1", "topic", b"question", 2.0)
            assert asked == Ok(b"question")
            with trio.fail_after(120):
                while await stranger.receive_some(4096):
                    pass
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def _peer(network, number):
    settings = PeerSettings(
        f"h{number}", "z", f"h{number}:1", KEYS, ("h0:1",), 0.5, number + 1
    )
    transport = network.transport(settings.address)
    return PeerNetwork(settings, TrioClock(), transport, random.Random(number))


# Answers of an engine.

START = StreamStart(
    "request",
    1,
    Route((Stage("engine", "", LayerRange(0, 4)),), "small", "1", 4),
    "prompt",
    (),
    3,
    5.0,
)
HOPS = (Hop("engine", LayerRange(0, 4)),)
GOOD_LINES = [
    msgspec.json.encode(
        Token(
            position,
            f"word{position}",
            Receipt("request", 1, position, HOPS),
            "length" if position == 2 else None,
        )
    )
    + b"\n"
    for position in range(3)
]
BAD_LINES = st.sampled_from(
    (
        b"\n",
        b"{}\n",
        b"null\n",
        b'{"position": -1}\n',
        GOOD_LINES[0][:20] + b"\n",
        GOOD_LINES[0].replace(b"word0", b"\xff\xfe"),
        b"x" * 100_000,
        b"[" * 5_000 + b"\n",
        b'{"error_code": 4006, "detail": "d", "target_id": "engine"}\n',
        b'{"error_code": 1000}\n',
        b'{"error_code": "many"}\n',
    )
)
HEADS = st.sampled_from(
    (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n",
        b"HTTP/1.1 503 Busy\r\nx-not-started: true\r\ncontent-length: 0\r\n",
        b"HTTP/9.9 what\r\n",
        b"\x00\xff\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: -4\r\n",
    )
)
SHORT_TIMEOUTS = TargetTimeouts(first_token_s=0.4, idle_s=0.2, control_s=0.4)


@ci_profile(120)
@given(
    head=HEADS,
    good=st.integers(0, 3),
    bad=st.lists(BAD_LINES, max_size=2),
    is_chunked=st.booleans(),
    echoes=st.booleans(),
)
def test_damaged_answer_of_an_engine_is_a_number_and_never_a_token(
    head, good, bad, is_chunked, echoes
):
    """The host gets the good tokens before the damage, then one fault.

    Only an answer that says so itself proves that nothing was started.
    """
    lines = [*GOOD_LINES[:good], *bad]
    tokens, problem = trio.run(_read_answer, head, lines, is_chunked, echoes)
    texts = [token.text for token in tokens]
    assert texts == [f"word{number}" for number in range(len(texts))]
    assert len(texts) <= good
    if problem is None:
        assert tokens[-1].finish == "length"
        return
    if problem.outcome is Outcome.NOT_RUN:
        assert b"x-not-started" in head, problem
    assert problem.outcome is not Outcome.FINISHED


async def _read_answer(head, lines, is_chunked, echoes):
    """Serve one damaged answer on loopback; return the tokens and fault read."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    target = Target("engine", "h", "z", f"127.0.0.1:{port}")

    async def serve(stream):
        request = await stream.receive_some(65536)
        number = _read_exchange_id(request) if echoes else b"0"
        answer = head + b"x-exchange: " + number + b"\r\n\r\n"
        for line in lines:
            size = f"{len(line):x}\r\n".encode()
            answer += size + line + b"\r\n" if is_chunked else line
        try:
            await stream.send_all(answer + (b"0\r\n\r\n" if is_chunked else b""))
            await stream.aclose()
        except trio.BrokenResourceError:
            return

    tokens = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        problem = await _read_tokens(target, tokens)
        nursery.cancel_scope.cancel()
    return tokens, problem


async def _read_tokens(target, tokens):
    with trio.fail_after(5):
        async with EngineTargets(SHORT_TIMEOUTS).open_stream(target, START) as opened:
            if opened.is_error():
                return opened.error
            while not tokens or tokens[-1].finish is None:
                match await opened.ok.next_token():
                    case Result(tag="ok", ok=token):
                        tokens.append(token)
                    case Result(tag="error", error=problem):
                        return problem
    return None


def _read_exchange_id(request: bytes) -> bytes:
    for line in request.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-exchange":
            return value.strip()
    return b""
