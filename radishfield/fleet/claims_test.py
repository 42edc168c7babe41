"""Tests that a key is granted at most once, whatever happens to its requests."""

import trio
import trio.testing
from expression import Error
from hypothesis import given, settings
from hypothesis import strategies as st

from radishfield.core import (
    Member,
    MemberState,
    Outcome,
    ResultCode,
    TrioClock,
    fault,
)
from radishfield.fleet import Claimed, Claims, ClaimSettings, Replay
from radishfield.fleet._claims_book import (
    MAX_TOTAL_ANSWER_BYTES,
    ClaimBook,
    ClaimRecord,
    ClaimState,
)
from radishfield.fleet._claims_slots import Slot, StoredClaim, read_slot, slot_name
from radishfield.fleet._claims_wire import decode_ask, decode_record, decode_state
from standins.fakes import FakePlatform

ZONES = ("duluth-hall", "toledo-hall", "kingston-hall")
EXPIRES_S = 500.0


class Network:
    """Hosts that query each other and share one platform."""

    __slots__ = (
        "claims_by_id",
        "peers_by_id",
        "platform",
        "scopes_by_id",
        "nursery",
        "dead_ids",
        "undiscovered_ids",
    )

    def __init__(self, nursery):
        self.claims_by_id = {}
        self.peers_by_id = {}
        self.scopes_by_id = {}
        self.platform = FakePlatform(TrioClock())
        self.nursery = nursery
        self.dead_ids = set()
        self.undiscovered_ids = set()

    async def start(self, host_id):
        self.dead_ids.discard(host_id)
        clock = TrioClock()
        peers = FakePeers(self, host_id)
        claims = Claims(
            self.platform.as_caller(host_id),
            peers,
            clock,
            ClaimSettings(host_id, zone_of(host_id)),
            unix_now=clock.now,
        )
        self.peers_by_id[host_id] = peers
        self.claims_by_id[host_id] = claims
        await self.nursery.start(claims.run)

    def stop(self, host_id):
        self.peers_by_id.pop(host_id)
        self.dead_ids.add(host_id)


class FakePeers:
    __slots__ = ("network", "host_id", "handlers_by_topic")

    def __init__(self, network, host_id):
        self.network = network
        self.host_id = host_id
        self.handlers_by_topic = {}

    def members(self):
        living = [
            Member(each, zone_of(each), "", 1)
            for each in self.network.peers_by_id
            if each == self.host_id or each not in self.network.undiscovered_ids
        ]
        dead = [
            Member(each, zone_of(each), "", 1, MemberState.DEAD)
            for each in self.network.dead_ids
        ]
        return living + dead

    def answer(self, topic, handler):
        self.handlers_by_topic[topic] = handler

    async def ask(self, member_id, topic, payload, timeout_s):
        await trio.sleep(0.001)
        if member_id in self.network.undiscovered_ids:
            return Error(fault(ResultCode.PEER_UNREACHABLE))
        other = self.network.peers_by_id.get(member_id)
        if other is None:
            await trio.sleep(timeout_s)
            return Error(fault(ResultCode.PEER_UNREACHABLE))
        return await other.handlers_by_topic[topic](self.host_id, payload)


def zone_of(host_id):
    return ZONES[int(host_id[1:]) % len(ZONES)]


def run(scenario):
    """Run a scenario in virtual time on a fleet of three hosts."""

    async def main():
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            for number in range(3):
                await network.start(f"h{number}")
            await scenario(network)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def claim(network, host_id, digest="d"):
    expires = trio.current_time() + EXPIRES_S
    claims = network.claims_by_id[host_id]
    return await claims.claim("w", "key", digest, "r", expires)


def granted(result):
    return result.is_ok() and isinstance(result.ok, Claimed)


def test_retry_at_another_host_gets_the_state_of_the_first_request():
    """A caller's retry never starts a second run.

    The first request is claimed at one host.  Retries at other hosts are answered
    that it still runs, then get its answer; a different body is refused.
    """

    async def scenario(network):
        first = await claim(network, "h0")
        assert granted(first)
        running = await claim(network, "h1")
        assert running.error.code == ResultCode.DUPLICATE_IN_FLIGHT
        assert running.error.retry_after_s
        await network.claims_by_id["h0"].finish(first.ok, b"answer")
        for host_id in ("h0", "h1", "h2"):
            assert (await claim(network, host_id)).ok == Replay(b"answer")
        reused = await claim(network, "h2", digest="other")
        assert reused.error.code == ResultCode.IDEMPOTENCY_KEY_REUSED

    run(scenario)


def test_retry_after_the_claiming_host_died_has_an_unknown_outcome():
    """The claiming host dies between claim and end, and restarts without its state.

    No host can know how the run went, so a retry runs at no host and its outcome
    is reported as unknown.
    """

    async def scenario(network):
        assert granted(await claim(network, "h0"))
        network.stop("h0")
        unknown = await claim(network, "h1")
        assert unknown.error.code == ResultCode.DUPLICATE_UNKNOWN
        await network.start("h0")
        for host_id in ("h0", "h2"):
            unknown = await claim(network, host_id)
            assert unknown.error.code == ResultCode.DUPLICATE_UNKNOWN
            assert unknown.error.outcome is Outcome.UNKNOWN

    run(scenario)


def test_retry_at_a_new_host_waits_until_it_discovers_the_claiming_host():
    """A caller's retry reaches a host that has not discovered its peers yet.

    The first request ran at a host that is alive.  The retry waits a fraction of
    a second until the new host has discovered that one, and gets the answer.
    """

    async def scenario(network):
        first = await claim(network, "h0")
        network.undiscovered_ids.add("h0")
        await network.claims_by_id["h0"].finish(first.ok, None)

        async def join():
            await trio.sleep(0.4)
            network.undiscovered_ids.clear()

        network.nursery.start_soon(join)
        finished = await claim(network, "h1")
        assert finished.error.code == ResultCode.DUPLICATE_UNKNOWN
        assert finished.error.outcome is Outcome.FINISHED

    run(scenario)


def test_retry_at_a_new_host_that_discovers_no_claimant_gets_a_retry_time():
    """A host gives no final refusal in its first ten seconds.

    While the host is new, the retry is refused with a retry time; once it is old
    enough, a claimant that it does not know counts as gone.
    """

    async def scenario(network):
        assert granted(await claim(network, "h0"))
        network.undiscovered_ids.add("h0")
        early = await claim(network, "h1")
        assert early.error.code == ResultCode.CLAIM_UNAVAILABLE
        assert early.error.retry_after_s
        assert early.error.outcome is Outcome.UNKNOWN
        await trio.sleep(20.0)
        late = await claim(network, "h1")
        assert late.error.code == ResultCode.DUPLICATE_UNKNOWN

    run(scenario)


def test_retry_gets_the_answer_from_a_copy_after_the_claiming_host_stopped():
    """The caller gets the answer of its first run from a copy at another host."""

    async def scenario(network):
        first = await claim(network, "h0")
        await network.claims_by_id["h0"].finish(first.ok, b"answer")
        await network.claims_by_id["h0"].drain()
        await trio.sleep(0.1)
        network.stop("h0")
        assert (await claim(network, "h1")).ok == Replay(b"answer")

    run(scenario)


def test_a_released_key_can_be_claimed_and_its_first_claim_leaves_the_store():
    """A caller's retry runs, because the first request is proven not to have run."""

    async def scenario(network):
        first = await claim(network, "h0")
        await network.claims_by_id["h0"].release(first.ok)
        assert granted(await claim(network, "h1"))
        place = first.ok.record.place
        stored = await network.platform.read("claim", slot_name(place))
        (kept,) = read_slot(stored.ok.value, 0).claims
        assert kept.host_id == "h1"

    run(scenario)


def test_concurrent_claims_of_a_key_are_granted_once():
    """Of requests sent at the same moment, one runs; the others get "in flight"."""

    async def scenario(network):
        results = []

        async def send_claim(host_id):
            results.append(await claim(network, host_id))

        network.platform.faults.delay_s = 0.01
        async with trio.open_nursery() as nursery:
            for host_id in ("h0", "h1", "h2"):
                nursery.start_soon(send_claim, host_id)
        assert sum(granted(result) for result in results) == 1
        losers = [result.error.code for result in results if result.is_error()]
        assert losers == [ResultCode.DUPLICATE_IN_FLIGHT] * 2

    run(scenario)


def test_a_claim_whose_write_lost_its_answer_is_read_back_and_granted():
    """The claim is granted: the write took effect and is read back."""

    async def scenario(network):
        network.platform.faults.lost_answers = 1
        assert granted(await claim(network, "h0"))
        running = await claim(network, "h1")
        assert running.error.code == ResultCode.DUPLICATE_IN_FLIGHT

    run(scenario)


def test_without_the_platform_a_new_key_is_refused_with_an_unknown_outcome():
    """The caller gets a retry time and an unknown outcome.

    This request did not run.  Another with the same key may have, where this host
    can't see it, so "not run" would be wrong.  The host still replays answers that
    it keeps itself.
    """

    async def scenario(network):
        first = await claim(network, "h0")
        await network.claims_by_id["h0"].finish(first.ok, b"answer")
        network.platform.set_down(True)
        assert (await claim(network, "h0")).ok == Replay(b"answer")
        refused = await claim(network, "h1", digest="other")
        assert refused.error.code == ResultCode.CLAIM_UNAVAILABLE
        assert refused.error.outcome is Outcome.UNKNOWN
        assert refused.error.retry_after_s

    run(scenario)


def test_a_cancelled_claim_frees_its_key():
    """The caller disconnects while its key is claimed; a later request runs."""

    async def scenario(network):
        network.platform.faults.delay_s = 1.0
        with trio.move_on_after(1.5):
            await claim(network, "h0")
        network.platform.faults.delay_s = 0.0
        await trio.sleep(5)
        assert granted(await claim(network, "h1"))

    run(scenario)


def test_a_slot_drops_expired_claims_and_keeps_the_rest():
    old = StoredClaim("a", "d", "1", "h0", expires_unix=100.0)
    live = StoredClaim("b", "d", "2", "h0", expires_unix=900.0)
    slot = Slot((old, live), version=3)
    new = StoredClaim("c", "d", "3", "h0", expires_unix=1000.0)
    value = slot.with_claim(new, unix_now=200.0)
    assert read_slot(value, 4).claims == (live, new)
    assert slot.find("a", unix_now=150.0) == old
    assert slot.find("a", unix_now=161.0) is None


def test_a_full_book_refuses_records_and_limits_the_bytes_of_answers():
    book = ClaimBook(max_records=300)
    answer = b"x" * 60_000
    records = [ClaimRecord(f"p{n}", "d", f"c{n}", "h0", 50.0) for n in range(301)]
    assert all(book.put(record, 0.0) for record in records[:300])
    assert not book.put(records[300], 0.0)
    for record in records[:300]:
        book.settle(record, ClaimState.FINISHED, answer, 0.0)
    kept = [book.find(record.place, 0.0).answer for record in records[:300]]
    assert 0 < sum(len(each) for each in kept if each) <= MAX_TOTAL_ANSWER_BYTES
    assert book.put(records[300], 60.0)


@settings(derandomize=True, max_examples=100)
@given(st.binary(max_size=300))
def test_garbage_from_a_peer_is_a_numbered_fault(payload):
    for result in (
        decode_ask(payload),
        decode_record(payload, 0.0),
        decode_state(payload, 0.0),
    ):
        if result.is_error():
            assert result.error.code == ResultCode.BAD_FRAME
