"""Tests of connections that one host opens for another, on the wire."""

import errno
import os
import socket

import httpcore
import pytest
import trio
import trio.testing

from radishfield.core import ResultCode, SystemClock
from radishfield.limits import AccountLimits, CallerAccount
from radishfield.relay import RelayServer, TargetDialer
from radishfield.relay._dialer import ENOUGH_REFUSALS, MAX_LATE_RACES
from radishfield.relay._frames import (
    CHALLENGE_BYTES,
    CHUNK,
    LENGTH,
    MAC_BYTES,
    MAX_REQUEST_BYTES,
    REPLY_BYTES,
    RelayRequest,
    decode_reply,
    encode_request,
)
from radishfield.relay._streams import (
    END_FRAME,
    RECEIVE_BUFFER_BYTES,
    RelayedStream,
    TargetStream,
    receive_exactly,
)
from radishfield.routing import RelayHost, TargetLinks
from standins.crowd import unread_bytes
from standins.ports import free_port

KEY = b"k" * 32
OTHER_KEY = b"x" * 32
LARGE_REQUEST_BYTES = 16 << 20
"""More than the buffers between two hosts and a target hold."""


class FixedKey:
    """A key that does not come from a store."""

    def __init__(self, value=KEY):
        self.value = value
        self.doubts = 0

    def doubt(self):
        self.doubts += 1


class Scene:
    """A relaying host, a target that it reaches, and a host that asks it."""

    def __init__(self, nursery, account=None):
        self.nursery = nursery
        self.address = f"127.0.0.1:{free_port()}"
        self.target = ""
        self.leaving = False
        self.links = TargetLinks()
        self.asking_links = TargetLinks()
        self.key = FixedKey()
        self.server = RelayServer(
            self.address,
            self.key,
            self.links,
            SystemClock(),
            lambda address: address == self.target,
            lambda: self.leaving,
            account=account,
        )
        host, port = self.address.split(":")
        relay = RelayHost("near", (host, int(port)), "a", True)
        self.relay = relay
        self.dialer = TargetDialer(
            "me", "a", self.key, self.asking_links, SystemClock(), lambda: [relay]
        )

    async def serve_target(self, handle):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.target = f"127.0.0.1:{port}"
        self.nursery.start_soon(trio.serve_listeners, handle, listeners)

    async def dial(self):
        """Return a relayed connection, as a host has it whose own link is down."""
        self.asking_links.note_relayed(self.target, SystemClock().now())
        dialed = await self.dialer.dial(self.target)
        assert dialed.is_ok(), dialed.error
        assert dialed.ok.via == "near"
        return dialed.ok.stream

    async def dial_directly(self):
        """Return a connection over the asking host's own link."""
        dialed = await TargetDialer.direct(TargetLinks(), SystemClock()).dial(
            self.target
        )
        assert dialed.ok.via == ""
        return dialed.ok.stream

    async def open(self):
        host, port = self.address.split(":")
        stream = await trio.open_tcp_stream(host, int(port))
        challenge = await receive_exactly(stream, CHALLENGE_BYTES)
        return stream, challenge


def play(scenario, handle=None, account=None):
    async def main():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                scene = Scene(nursery, account)
                await scene.serve_target(handle or echo)
                await nursery.start(scene.server.run)
                await scenario(scene)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def echo(stream):
    while data := await stream.receive_some():
        await stream.send_all(data)


async def reply_code(stream, challenge, key=KEY):
    reply = await receive_exactly(stream, REPLY_BYTES)
    return decode_reply(key, challenge, reply).error.code


def test_bytes_pass_both_ways_and_the_targets_end_is_passed_on():
    async def answer_and_close(stream):
        request = await stream.receive_some()
        await stream.send_all(b"answer to " + request)
        await stream.send_eof()

    async def scenario(scene):
        stream = await scene.dial()
        await stream.write(b"request")
        received = b""
        while data := await stream.read(7):
            received += data
        assert received == b"answer to request"
        await stream.aclose()

    play(scenario, answer_and_close)


def test_close_of_the_asking_host_closes_the_connection_at_the_target():
    """Guards against targets that go on with work whose caller has left."""
    ended = trio.Event()

    async def wait_for_end(stream):
        await stream.receive_some()
        assert await stream.receive_some() == b""
        ended.set()

    async def scenario(scene):
        stream = await scene.dial()
        await stream.write(b"request")
        await trio.sleep(0.05)
        await stream.aclose()
        with trio.fail_after(0.5):
            await ended.wait()

    play(scenario, wait_for_end)


@pytest.mark.parametrize("end", ["target-resets", "host-ends"])
def test_answer_that_breaks_off_does_not_end_like_a_complete_one(end):
    """Guards against a truncated answer without a length taken for a whole one."""
    sent = trio.Event()

    async def break_off(stream):
        await stream.receive_some()
        await stream.send_all(b"half an answ")
        sent.set()
        await trio.sleep(0.05)
        if end == "target-resets":
            linger = b"\x01" + b"\x00" * 7
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            await trio.aclose_forcefully(stream)
        await trio.sleep(1)

    async def scenario(scene):
        stream = await scene.dial()
        await stream.write(b"request")
        assert await stream.read(100) == b"half an answ"
        if end == "host-ends":
            for scope in list(scene.server._scopes):
                scope.cancel()
        with pytest.raises(httpcore.ReadError):
            await stream.read(100)

    play(scenario, break_off)


async def answer_half_and_reset(stream):
    await stream.receive_some(1)
    await stream.send_all(b"half an answ")
    linger = b"\x01" + b"\x00" * 7
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    await trio.aclose_forcefully(stream)


async def read_after_failed_send(stream):
    """Read to the end of an answer as the HTTP library does."""
    try:
        await stream.write(bytes(LARGE_REQUEST_BYTES))
    except httpcore.WriteError:
        pass
    while await stream.read(100):
        pass


def test_reset_that_a_relaying_host_meets_as_it_sends_is_passed_on_as_one():
    """Guards against a reset that only the send sees, so that a read finds an end."""

    async def scenario(scene):
        # Whether the send or the read meets the reset first is open.
        for _ in range(12):
            stream = await scene.dial()
            with pytest.raises(httpcore.ReadError):
                await read_after_failed_send(stream)
            await stream.aclose()

    play(scenario, answer_half_and_reset)


def test_reset_that_a_send_meets_ends_no_answer():
    """Guards against a reset that only the send sees, so that a read finds an end."""

    async def scenario(scene):
        stream = await scene.dial_directly()
        with pytest.raises(httpcore.ReadError):
            await read_after_failed_send(stream)

    play(scenario, answer_half_and_reset)


def test_stranger_without_the_key_reaches_no_target():
    async def scenario(scene):
        stream, challenge = await scene.open()
        request = RelayRequest("stranger", scene.target)
        await stream.send_all(encode_request(OTHER_KEY, challenge, request))
        code = await reply_code(stream, challenge)
        assert code is ResultCode.PEER_UNAUTHENTICATED
        assert scene.server.served == 0 and scene.server.refused == 1

    play(scenario)


def test_request_that_is_sent_again_is_refused():
    """Guards against a recorded request: each connection has its own challenge."""

    async def scenario(scene):
        stream, challenge = await scene.open()
        request = encode_request(KEY, challenge, RelayRequest("me", scene.target))
        await stream.send_all(request)
        await receive_exactly(stream, REPLY_BYTES)
        again, other_challenge = await scene.open()
        await again.send_all(request)
        code = await reply_code(again, other_challenge)
        assert code is ResultCode.PEER_UNAUTHENTICATED
        assert scene.server.served == 1

    play(scenario)


def test_damaged_request_is_refused():
    async def scenario(scene):
        for index in (3, -1):
            stream, challenge = await scene.open()
            damaged = bytearray(
                encode_request(KEY, challenge, RelayRequest("me", scene.target))
            )
            damaged[index] ^= 1
            await stream.send_all(damaged)
            code = await reply_code(stream, challenge)
            assert code is ResultCode.PEER_UNAUTHENTICATED

    play(scenario)


def test_request_that_is_too_long_or_no_request_is_refused():
    async def scenario(scene):
        stream, challenge = await scene.open()
        await stream.send_all(LENGTH.pack(MAX_REQUEST_BYTES + 1) + b"a" * 4000)
        code = await reply_code(stream, challenge)
        assert code is ResultCode.FRAME_TOO_LARGE
        stream, challenge = await scene.open()
        await stream.send_all(LENGTH.pack(9) + b"short")
        await stream.send_eof()
        assert await reply_code(stream, challenge) is ResultCode.BAD_FRAME
        stream, challenge = await scene.open()
        await stream.send_all(LENGTH.pack(1) + b"\xc1" + b"m" * MAC_BYTES)
        code = await reply_code(stream, challenge)
        assert code is ResultCode.PEER_UNAUTHENTICATED

    play(scenario)


def test_connection_that_names_no_target_is_closed():
    """Guards against strangers that hold connections open."""

    async def scenario(scene):
        stream, challenge = await scene.open()
        await stream.send_all(LENGTH.pack(100))
        assert await reply_code(stream, challenge) is ResultCode.PEER_STALE
        await stream.aclose()
        with trio.fail_after(1):
            while scene.server.open:
                await trio.sleep(0.02)

    play(scenario)


def test_host_connects_others_to_listed_targets_only():
    """Guards against a way through the hosts to any address."""

    async def scenario(scene):
        stream, challenge = await scene.open()
        request = RelayRequest("me", "127.0.0.1:9")
        await stream.send_all(encode_request(KEY, challenge, request))
        assert await reply_code(stream, challenge) is ResultCode.PEER_STALE

    play(scenario)


def test_leaving_host_and_one_without_a_link_of_its_own_refuse_at_once():
    async def scenario(scene):
        for prepare, code in (
            (lambda: setattr(scene, "leaving", True), ResultCode.DRAINING),
            (
                lambda: scene.links.note_relayed(scene.target, SystemClock().now()),
                ResultCode.PEER_UNREACHABLE,
            ),
        ):
            prepare()
            stream, challenge = await scene.open()
            request = RelayRequest("me", scene.target)
            await stream.send_all(encode_request(KEY, challenge, request))
            assert await reply_code(stream, challenge) is code
            scene.leaving = False

    play(scenario)


def test_other_key_is_reported_so_that_it_is_read_again():
    """Guards against hosts that refuse each other for good over different keys."""

    async def scenario(scene):
        asking = FixedKey(OTHER_KEY)
        dialer = TargetDialer(
            "me", "a", asking, TargetLinks(), SystemClock(), lambda: [scene.relay]
        )
        assert await dialer.reaches(scene.target) is None
        assert scene.key.doubts == 1 and asking.doubts == 1

    play(scenario)


def test_requests_from_before_a_suspension_do_not_reach_the_target():
    """Guards against work that is sent on seconds after its host gave up on it."""

    async def scenario(scene):
        stream = await scene.dial()
        await stream.write(b"one")
        assert await stream.read(10) == b"one"
        scene.server._ticked_at -= 5.0
        await stream.write(b"two")
        with pytest.raises(httpcore.ReadError):
            await stream.read(10)

    play(scenario)


def test_target_that_refuses_everybody_is_reported_as_unreachable():
    async def scenario(scene):
        scene.target = f"127.0.0.1:{free_port()}"
        assert await scene.dialer.reaches(scene.target) is False
        dialed = await scene.dialer.dial(scene.target)
        assert dialed.error.code is ResultCode.CONNECT_FAILED

    play(scenario)


def test_frozen_host_is_passed_over_and_asked_last_afterwards():
    """Guards against callers that wait for a host which accepts and never answers."""

    async def scenario(scene):
        frozen = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = frozen[0].socket.getsockname()[1]
        hosts = [RelayHost("frozen", ("127.0.0.1", port), "a", True)]
        hosts.append(RelayHost("near", scene.relay.address, "b", True))
        links = TargetLinks()
        dialer = TargetDialer("me", "a", scene.key, links, SystemClock(), lambda: hosts)
        links.note_relayed(scene.target, SystemClock().now())
        with trio.fail_after(0.3):
            dialed = await dialer.dial(scene.target)
        assert dialed.ok.via == "near"
        assert links.avoided(SystemClock().now()) == {"frozen"}

    play(scenario)


def test_late_connections_of_an_overloaded_host_are_not_opened_again_elsewhere():
    """Guards against a fleet that opens each connection several times under load."""

    async def scenario(scene):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=1)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        fillers = [trio.socket.socket() for _ in range(8)]
        with trio.move_on_after(0.2):
            async with trio.open_nursery() as nursery:
                for filler in fillers:
                    host, port = address.split(":")
                    nursery.start_soon(filler.connect, (host, int(port)))
        dialer = TargetDialer(
            "me", "a", scene.key, TargetLinks(), SystemClock(), lambda: [scene.relay]
        )
        before = scene.server.refused
        async with trio.open_nursery() as nursery:
            for _ in range(12):
                nursery.start_soon(dialer.dial, address)
        # Without a bound each of the twelve would have asked.
        assert 0 < scene.server.refused - before <= MAX_LATE_RACES
        for filler in fillers:
            filler.close()

    play(scenario)


def test_target_that_two_hosts_are_refused_at_is_given_up():
    """Guards against callers that wait while every host is asked for a dead target."""

    async def scenario(scene):
        scene.target = f"127.0.0.1:{free_port()}"
        hosts = [
            RelayHost(f"{zone}{n}", scene.relay.address, zone, True)
            for zone in "ab"
            for n in range(2)
        ]
        links = TargetLinks()
        dialer = TargetDialer("me", "a", scene.key, links, SystemClock(), lambda: hosts)
        dialed = await dialer.dial(scene.target)
        assert dialed.error.code is ResultCode.CONNECT_FAILED
        assert scene.server.refused == ENOUGH_REFUSALS

    play(scenario)


@pytest.mark.parametrize(
    ("frames", "unread"),
    [(b"", 0), (END_FRAME, 0), (CHUNK.pack(3) + b"abc", CHUNK.size + 3)],
)
def test_end_of_a_relayed_connection_is_no_unrequested_byte(
    monkeypatch, frames, unread
):
    """Guards against sound targets whose connections are not kept after an end."""

    async def main():
        here, there = trio.socket.socketpair()
        async with trio.SocketStream(here) as relayed, trio.SocketStream(there) as host:
            stream = TargetStream(RelayedStream(relayed))
            await host.send_all(frames)
            await trio.testing.wait_all_tasks_blocked()
            assert stream.unread_bytes() == unread

            def fail(descriptor):
                raise OSError(errno.EMFILE, "injected")

            monkeypatch.setattr(os, "dup", fail)
            assert stream.unread_bytes() == 0

    trio.run(main)


def test_relayed_connections_share_the_descriptors_of_callers():
    """Guards against two limits that together exceed what the process may hold."""
    account = CallerAccount(AccountLimits(8 << 20, max_connections=2))

    async def scenario(scene):
        first, second = await scene.dial(), await scene.dial()
        assert account.connections == 2
        stream, challenge = await scene.open()
        request = RelayRequest("me", scene.target)
        await stream.send_all(encode_request(KEY, challenge, request))
        code = await reply_code(stream, challenge)
        assert code is ResultCode.TOO_MANY_CONNECTIONS
        for opened in (first, second):
            await trio.aclose_forcefully(opened)
        while account.connections:
            await trio.sleep(0.01)
        assert account.used_bytes == 0

    play(scenario, account=account)


@pytest.mark.parametrize("piece_bytes", [LARGE_REQUEST_BYTES, 41])
def test_little_waits_unread_at_a_relay_whose_target_does_not_read(piece_bytes):
    """Guards against memory of a host for requests that are not its own callers'."""

    async def scenario(scene):
        stream = await scene.dial()
        with trio.move_on_after(1.0):
            for _ in range(LARGE_REQUEST_BYTES // piece_bytes):
                await stream.write(bytes(piece_bytes))
        waiting = unread_bytes(int(scene.address.rpartition(":")[2]))
        # The kernel allows for twice of what it is asked for.
        assert 0 < waiting <= 2 * RECEIVE_BUFFER_BYTES

    async def handle(stream):
        await trio.sleep_forever()

    play(scenario, handle)
