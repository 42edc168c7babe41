"""Tests of the frames, their authentication, and the network between hosts."""

import random
from dataclasses import replace

import pytest
import trio
import trio.testing
from expression import Ok

from radishfield.core import MemberState, ResultCode, TrioClock
from radishfield.edges import PeerKey, PeerNetwork, PeerSettings, SocketTransport
from radishfield.edges import _peer_frames as frames
from radishfield.edges._peer import DATAGRAM_CONTEXT
from radishfield.edges._peer_seal import ReplayGuard, Sealer
from radishfield.fleet import Update
from standins.peer_network import MemoryNetwork

OLD_KEY = PeerKey(1, b"old secret, 16 bytes")
NEW_KEY = PeerKey(2, b"new secret, 16 bytes")


def run(main, *args):
    trio.run(main, *args, clock=trio.testing.MockClock(autojump_threshold=0))


def make_host(network, number, keys=(OLD_KEY,), zones=3, incarnation=1):
    settings = PeerSettings(
        f"h{number}",
        f"z{number % zones}",
        f"h{number}:1",
        keys,
        seeds=("h0:1",),
        incarnation=incarnation,
    )
    return PeerNetwork(
        settings,
        TrioClock(),
        network.transport(settings.address),
        random.Random(number),
    )


async def start_hosts(nursery, network, count, **options):
    hosts = [make_host(network, number, **options) for number in range(count)]
    for host in hosts:
        await nursery.start(host.run)
    return hosts


def live_member_ids(host):
    return {
        member.id
        for member in host.members()
        if member.state in (MemberState.LIVE, MemberState.SUSPECT)
    }


def make_frame(body, sequence=1, **fields):
    sender = Update("h9", "z0", "h9:1", 7)
    return frames.Frame(sender, sequence, 5, 6, body, **fields)


@pytest.mark.parametrize(
    "body",
    [
        frames.Ping(),
        frames.Ack(),
        frames.Relay("127.0.0.1:1"),
        frames.News("t", b"\0p"),
    ],
)
def test_frames_round_trip(body):
    suspect = Update("h1", "z", "a:1", 3, 2, MemberState.SUSPECT, "h2")
    frame = make_frame(body, updates=(suspect,))
    assert frames.decode_frame(frames.encode_frame(frame)).ok == frame


def test_bad_frames_and_unknown_schema_versions_return_errors():
    rng = random.Random(3)
    for length in (0, 1, 7, 60, 1_300):
        data = rng.randbytes(length)
        assert frames.decode_frame(data).error.code is ResultCode.BAD_FRAME
    good = frames.encode_frame(make_frame(frames.Ping()))
    assert frames.decode_frame(good[: len(good) // 2]).is_error()
    message = frames._schema.Frame.new_message(schemaVersion=99).to_bytes_packed()
    assert frames.decode_frame(message).error.code is ResultCode.SCHEMA_VERSION


def test_key_rotation_accepts_frames_at_each_step():
    first, second = Sealer([OLD_KEY, NEW_KEY]), Sealer([NEW_KEY, OLD_KEY])
    assert first.unseal(second.seal(b"f", b""), b"").ok == b"f"
    assert second.unseal(first.seal(b"f", b""), b"").ok == b"f"
    third = Sealer([NEW_KEY])
    refused = third.unseal(first.seal(b"f", b""), b"").error
    assert refused.code is ResultCode.PEER_UNAUTHENTICATED
    assert third.unseal(third.seal(b"f", b"one"), b"other").is_error()
    with pytest.raises(ValueError):
        Sealer([PeerKey(1, b"short")])
    with pytest.raises(ValueError):
        Sealer([OLD_KEY, PeerKey(OLD_KEY.id, NEW_KEY.secret)])


def test_replay_guard_accepts_each_frame_once_even_out_of_order():
    guard = ReplayGuard()
    assert guard.accept("h", 1, 10) and guard.accept("h", 1, 8)
    assert not guard.accept("h", 1, 10) and not guard.accept("h", 1, 8)
    assert guard.accept("h", 1, 5_000) and not guard.accept("h", 1, 9)
    assert guard.accept("h", 2, 1) and not guard.accept("h", 1, 6_000)


def test_hosts_discover_each_other_and_a_dead_one_is_declared_dead():
    async def main():
        network = MemoryNetwork()
        async with trio.open_nursery() as nursery:
            hosts = await start_hosts(nursery, network, 9)
            await trio.sleep(10)
            assert all(len(live_member_ids(host)) == 9 for host in hosts)
            network.faults.silent.add("h4:1")
            await trio.sleep(15)
            others = [host for host in hosts if host is not hosts[4]]
            assert all("h4" not in live_member_ids(host) for host in others)
            assert sum(len(live_member_ids(host)) for host in others) == 64
            nursery.cancel_scope.cancel()

    run(main)


def test_hosts_discover_a_seed_that_starts_late_within_a_second():
    """Two hosts start and find each other; the seed of both starts 0.8 s later.

    With one probe of a missing seed in five seconds, all three would serve for that
    long while the seed is unknown to both, and a retry at one host could not learn
    the outcome of its first attempt at another.
    """

    async def main():
        network = MemoryNetwork()
        async with trio.open_nursery() as nursery:
            first, second = (make_host(network, number) for number in (1, 2))
            first._prober.add_seeds(["h2:1"])
            for host in (first, second):
                await nursery.start(host.run)
            await trio.sleep(0.8)
            assert live_member_ids(first) >= {"h1", "h2"}
            late = make_host(network, 0)
            await nursery.start(late.run)
            await trio.sleep(1.0)
            for host in (first, second, late):
                assert live_member_ids(host) == {"h0", "h1", "h2"}
            nursery.cancel_scope.cancel()

    run(main)


def test_slow_member_and_lost_datagrams_declare_no_member_dead():
    """One host answers 0.4 s late and a tenth of all datagrams is lost.

    The slow host exceeds the timeout of direct probes and often that of the
    helpers too.  It must remain a live member, or its duties move away and back.
    """

    async def main():
        network = MemoryNetwork()
        async with trio.open_nursery() as nursery:
            hosts = await start_hosts(nursery, network, 9)
            await trio.sleep(10)
            network.faults.lost_share = 0.1
            network.faults.lag_s_by_address["h4:1"] = 0.4
            for _ in range(60):
                await trio.sleep(1)
                assert all(len(live_member_ids(host)) == 9 for host in hosts)
            nursery.cancel_scope.cancel()

    run(main)


def test_partition_heals_without_new_incarnations():
    """A zone is partitioned until each side declares the other dead, then it heals."""

    async def main():
        network = MemoryNetwork()
        async with trio.open_nursery() as nursery:
            hosts = await start_hosts(nursery, network, 9)
            await trio.sleep(10)
            partitioned = {"h0:1", "h3:1", "h6:1"}
            network.faults.is_partitioned = lambda one, other: (one in partitioned) != (
                other in partitioned
            )
            await trio.sleep(30)
            assert live_member_ids(hosts[0]) == {"h0", "h3", "h6"}
            assert len(live_member_ids(hosts[1])) == 6
            network.faults.is_partitioned = lambda one, other: False
            await trio.sleep(30)
            assert all(len(live_member_ids(host)) == 9 for host in hosts)
            assert {member.incarnation for member in hosts[0].members()} == {1}
            nursery.cancel_scope.cancel()

    run(main)


def test_garbled_forged_replayed_and_oversized_frames_are_counted_and_dropped():
    """An outsider sends each kind of bad frame, and replays a valid one.

    No bad frame may change the membership, and each is counted by result code.
    """

    async def main():
        network = MemoryNetwork()
        outsider = network.transport("evil:1")
        async with trio.open_nursery() as nursery:
            (target,) = await start_hosts(nursery, network, 1)
            forged = frames.encode_frame(make_frame(frames.Ping()))
            wrong = Sealer([PeerKey(1, b"another secret, 16+")])
            real = Sealer([OLD_KEY]).seal(forged, DATAGRAM_CONTEXT)
            for data in (
                b"x",
                wrong.seal(forged, DATAGRAM_CONTEXT),
                Sealer([OLD_KEY]).seal(b"\xff" * 50, DATAGRAM_CONTEXT),
                b"z" * 1_500,
                real,
                real,
            ):
                await outsider.send(data, "h0:1")
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        assert [member.id for member in target.members()] == ["h0", "h9"]
        assert target.dropped_by_code == {
            ResultCode.BAD_FRAME: 2,
            ResultCode.PEER_UNAUTHENTICATED: 1,
            ResultCode.FRAME_TOO_LARGE: 1,
            ResultCode.PEER_STALE: 1,
        }

    run(main)


def test_heartbeats_with_updates_of_long_names_fit_a_datagram():
    """All names have the maximum length, and there are updates on many hosts.

    A heartbeat with six such updates exceeds a datagram.  If it were not sent, the
    host would be without heartbeats and declared dead.
    """

    async def main():
        network = MemoryNetwork()
        async with trio.open_nursery() as nursery:
            (target,) = await start_hosts(nursery, network, 1)
            for number in range(20):
                name = f"{number:063}"
                update = Update(name, "z" * 63, "255.255.255.255:65535", 1)
                accused = replace(update, state=MemberState.SUSPECT, accuser="a" * 63)
                target.membership.observe(accused, 0.0)
            await trio.sleep(5)
            nursery.cancel_scope.cancel()
        assert target.frames_sent["ping"] > 5
        assert ResultCode.FRAME_TOO_LARGE not in target.dropped_by_code

    run(main)


def test_request_is_answered_and_a_stalled_kept_connection_is_replaced():
    """A kept connection stalls permanently while new ones work.

    The request gets half of its time on the kept connection, then a new one.  The
    requesting host gets an answer instead of ``PEER_UNREACHABLE``.
    """

    async def main():
        network = MemoryNetwork()
        async with trio.open_nursery() as nursery:
            hosts = await start_hosts(nursery, network, 3)
            await trio.sleep(5)

            async def double(sender, payload):
                return Ok(sender.encode() + payload * 2)

            hosts[1].answer("double", double)
            ask = hosts[0].ask
            assert (await ask("h1", "double", b"a", 1.0)).ok == b"h0aa"
            (kept,) = hosts[0].streams._idle_by_address["h1:1"]
            network.faults.is_partitioned = lambda one, other: True
            assert (await ask("h1", "double", b"a", 1.0)).error.code is (
                ResultCode.PEER_UNREACHABLE
            )
            network.faults.is_partitioned = lambda one, other: False
            assert (await ask("h1", "double", b"b", 1.0)).ok == b"h0bb"
            (kept,) = hosts[0].streams._idle_by_address["h1:1"]
            kept._stream._near = "silent"
            network.faults.silent.add("silent")
            assert (await ask("h1", "double", b"c", 1.0)).ok == b"h0cc"
            unknown = (await ask("h1", "none", b"", 1.0)).error
            assert unknown.code is ResultCode.BAD_FRAME
            nursery.cancel_scope.cancel()

    run(main)


def test_two_hosts_over_real_sockets():
    async def main():
        transports = [SocketTransport("127.0.0.1:0") for _ in range(2)]
        networks = []
        for number, transport in enumerate(transports):
            await transport.open()
            settings = PeerSettings(
                f"h{number}",
                "z",
                transport.address,
                (OLD_KEY,),
                seeds=(transports[0].address,),
                period_s=0.05,
            )
            transport.close()
            networks.append(
                PeerNetwork(settings, TrioClock(), SocketTransport(transport.address))
            )
        async with trio.open_nursery() as nursery:
            for network in networks:
                await nursery.start(network.run)
            with trio.fail_after(5):
                while len(networks[0].members()) < 2:
                    await trio.sleep(0.01)

            async def echo(sender, payload):
                return Ok(payload)

            networks[1].answer("echo", echo)
            payload = random.Random(1).randbytes(1 << 20)
            assert (await networks[0].ask("h1", "echo", payload, 5.0)).ok == payload
            nursery.cancel_scope.cancel()

    trio.run(main)
