"""Tests that a key is granted at most once, whatever its copies meet."""

import random
from dataclasses import replace

import trio
import trio.testing
from expression import Error, Ok
from hypothesis import given, settings
from hypothesis import strategies as st

from radishfield.core import (
    Member,
    Outcome,
    ResultCode,
    StoredObject,
    TrioClock,
    fault,
)
from radishfield.fleet import Claimed, Claims, KeeperStart, KnownHost, Replay
from radishfield.fleet._claims_book import (
    MAX_ANSWERS_BYTES,
    ClaimBook,
    ClaimRecord,
    ClaimState,
)
from radishfield.fleet._claims_founding import Founder, join_founding
from radishfield.fleet._claims_keepers import Universe
from radishfield.fleet._claims_wire import decode_answer, decode_ask, decode_record

ZONES = ("duluth-hall", "toledo-hall", "kingston-hall")
HOSTS = [KnownHost(f"h{number}", ZONES[number % 3]) for number in range(9)]
EXPIRES_S = 500.0


class Network:
    """Hosts that ask each other; cuts, losses and restarts on order."""

    __slots__ = (
        "claims_by_id",
        "peers_by_id",
        "cut_off",
        "lost_answers",
        "asks",
        "nursery",
    )

    def __init__(self, nursery):
        self.nursery = nursery
        self.claims_by_id = {}
        self.peers_by_id = {}
        self.cut_off = set()
        self.lost_answers = set()
        self.asks = 0

    def start(self, host, founders=None):
        peers = FakePeers(self, host)
        start = KeeperStart(host, 1, trio.current_time())
        claims = Claims(peers, TrioClock(), start)
        if founders:
            claims.become_founder(founders)
        self.nursery.start_soon(claims.run)
        self.peers_by_id[host.id] = peers
        self.claims_by_id[host.id] = claims

    def stop(self, host_id):
        self.peers_by_id.pop(host_id)

    def is_cut(self, one, other):
        return (one in self.cut_off) != (other in self.cut_off)


class FakePeers:
    __slots__ = ("network", "host", "handlers_by_topic")

    def __init__(self, network, host):
        self.network = network
        self.host = host
        self.handlers_by_topic = {}

    def members(self):
        running = self.network.peers_by_id.values()
        return [Member(each.host.id, each.host.zone, "", 1) for each in running]

    def answer(self, topic, handler):
        self.handlers_by_topic[topic] = handler

    async def ask(self, member_id, topic, payload, timeout_s):
        self.network.asks += 1
        other = self.network.peers_by_id.get(member_id)
        unreachable = Error(fault(ResultCode.PEER_UNREACHABLE))
        if other is None or self.network.is_cut(self.host.id, member_id):
            await trio.sleep(timeout_s)
            return unreachable
        await trio.sleep(random.Random(f"{self.host.id}{member_id}").random() / 500)
        answer = await other.handlers_by_topic[topic](self.host.id, payload)
        if (self.host.id, member_id) in self.network.lost_answers:
            await trio.sleep(timeout_s)
            return unreachable
        return answer


def run(scenario):
    """Run a scenario in virtual time on a founded fleet of nine hosts."""

    async def main():
        async with trio.open_nursery() as nursery:
            network = Network(nursery)
            for host in HOSTS:
                network.start(host, founders=HOSTS)
            await scenario(network)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def claim(network, host_id, digest="d", request="r"):
    expires = trio.current_time() + EXPIRES_S
    claims = network.claims_by_id[host_id]
    return await claims.claim("w", "key", digest, request, expires)


def granted(result):
    return result.is_ok() and isinstance(result.ok, Claimed)


def test_a_repeat_through_another_host_is_told_how_the_first_copy_goes():
    """The caller's repeat never starts a second run.

    The first copy is claimed through one host.  Repeats through another are
    told that it still runs, then get its answer; another body is refused.
    """

    async def scenario(network):
        first = await claim(network, "h0")
        assert granted(first)
        running = await claim(network, "h4")
        assert running.error.code == ResultCode.DUPLICATE_IN_FLIGHT
        assert running.error.retry_after_s
        await network.claims_by_id["h0"].finish(first.ok, b"answer")
        for host_id in ("h0", "h4", "h5"):
            assert (await claim(network, host_id)).ok == Replay(b"answer")
        reused = await claim(network, "h5", digest="other")
        assert reused.error.code == ResultCode.IDEMPOTENCY_KEY_REUSED

    run(scenario)


def test_a_repeat_after_its_first_host_died_is_unknown_or_gets_the_kept_answer():
    """The caller is told the truth though the host that ran the copy is gone.

    A host dies between claim and end: nobody can know, so the repeat is
    unknown and never runs.  A host that dies after the end left the answer
    with two others.
    """

    async def scenario(network):
        assert granted(await claim(network, "h0"))
        network.stop("h0")
        lost = await claim(network, "h4")
        assert lost.error.code == ResultCode.DUPLICATE_UNKNOWN
        network.start(HOSTS[0])
        restarted = await claim(network, "h0")
        assert restarted.error.code == ResultCode.DUPLICATE_UNKNOWN

    async def finished(network):
        first = await claim(network, "h0")
        await network.claims_by_id["h0"].finish(first.ok, b"answer")
        await network.claims_by_id["h0"].drain()
        network.stop("h0")
        assert (await claim(network, "h4")).ok == Replay(b"answer")

    run(scenario)
    run(finished)


def test_keepers_that_restarted_empty_do_not_vouch_that_a_key_is_free():
    """A repeat is refused as unknown while too many memories are young.

    The first copy is claimed, then most hosts are replaced one after another,
    the claiming one among them.  Nobody left can know; ten minutes later the
    key is no longer remembered by promise, and the fleet grants again.
    """

    async def scenario(network):
        assert granted(await claim(network, "h0"))
        for host in HOSTS[:8]:
            network.start(host)
        network.stop("h8")
        await trio.sleep(60.0)
        for host_id in ("h0", "h4"):
            refused = await claim(network, host_id)
            assert refused.error.code == ResultCode.CLAIM_UNAVAILABLE
            assert refused.error.outcome == Outcome.UNKNOWN
        await trio.sleep(640.0)
        assert granted(await claim(network, "h4"))

    run(scenario)


def test_hosts_replaced_one_after_another_copy_the_memory_of_the_others():
    """A rolling replacement neither forgets a claim nor stops new ones.

    Every host is replaced by an empty one, a minute apart.  Each reads the
    books of the others before it vouches, so the first copy's key stays held
    although no host is left that recorded it, and other keys are granted.
    """

    async def scenario(network):
        assert granted(await claim(network, "h0"))
        for host in HOSTS:
            network.start(host)
            await trio.sleep(50.0)
        held = await claim(network, "h5")
        assert held.error.code == ResultCode.DUPLICATE_UNKNOWN
        claims = network.claims_by_id["h5"]
        expires = trio.current_time() + EXPIRES_S
        assert granted(await claims.claim("w", "other", "d", "r", expires))

    run(scenario)


def test_books_that_differ_on_a_key_leave_it_unknown():
    book = ClaimBook()
    first = ClaimRecord("w", "k", "d", "one", "h", 1, 100.0)
    assert book.merge(first, 0.0)
    assert book.merge(replace(first, claim_id="two"), 0.0)
    assert book.merge(replace(first, claim_id="two"), 0.0)
    assert book.find(("w", "k"), 0.0).state is ClaimState.UNKNOWN
    ended = replace(first, claim_id="three", state=ClaimState.FINISHED)
    other = ClaimBook()
    assert other.merge(first, 0.0) and other.merge(ended, 0.0)
    assert other.find(("w", "k"), 0.0) == ended
    assert [each.key for each in book.page(("", ""), 10, 0.0)] == ["k"]


def test_a_host_that_restarted_does_not_take_its_earlier_claim_for_released():
    """A key is not granted twice to one host that restarted.

    The host claims, restarts empty, and the repeat reaches it again.  Keepers
    name its earlier claim, of which the new process knows nothing.
    """

    async def scenario(network):
        assert granted(await claim(network, "h0"))
        network.start(HOSTS[0])
        assert (await claim(network, "h0")).is_error()

    run(scenario)


def test_a_released_key_may_be_used_again_and_an_unknown_one_may_not():
    async def scenario(network):
        first = await claim(network, "h0")
        await network.claims_by_id["h0"].release(first.ok)
        second = await claim(network, "h4")
        assert granted(second)
        await network.claims_by_id["h4"].mark_unknown(second.ok)
        for host_id in ("h0", "h4", "h8"):
            third = await claim(network, host_id)
            assert third.error.code == ResultCode.DUPLICATE_UNKNOWN

    run(scenario)


def test_in_a_cut_only_the_side_with_a_majority_grants():
    """A repeat from the zone that is cut off is not run, and is called unknown.

    One zone is cut off; the first copy ran on the other side.  The cut-off
    zone can't see a majority, and the two zones left go on granting.
    """

    async def scenario(network):
        network.cut_off = {"h0", "h3", "h6"}
        assert granted(await claim(network, "h1"))
        refused = await claim(network, "h0")
        assert refused.error.code == ResultCode.CLAIM_UNAVAILABLE
        assert refused.error.outcome == Outcome.UNKNOWN
        assert refused.error.retry_after_s
        network.cut_off = set()
        after = await claim(network, "h0")
        assert after.error.code == ResultCode.DUPLICATE_IN_FLIGHT

    run(scenario)


def test_a_claim_whose_answers_were_lost_does_not_block_the_key():
    """The first try is refused, the repeat through another host runs.

    Keepers record the claim but their answers are lost.  The claimant gives
    up; asked by the next host it says so, and the stale records give way.
    """

    async def scenario(network):
        network.lost_answers = {("h0", host.id) for host in HOSTS}
        assert (await claim(network, "h0")).is_error()
        network.lost_answers = set()
        assert granted(await claim(network, "h4"))

    run(scenario)


def test_a_host_whose_view_is_incomplete_learns_it_from_the_keepers():
    """A newcomer that knows two hosts can't take their word for a majority.

    Those two were cut off when the first copy was claimed.  They vouch that the
    key is free, but name the other hosts, who hold it.
    """

    async def scenario(network):
        network.cut_off = {"h2", "h3"}
        assert granted(await claim(network, "h1"))
        network.cut_off = set()
        network.start(KnownHost("new", ZONES[0]))
        peers = network.peers_by_id["new"]
        known = [Member(each.id, each.zone, "", 1) for each in HOSTS[2:4]]
        peers_view = FewPeers(peers, known)
        claims = Claims(
            peers_view, TrioClock(), KeeperStart(peers.host, 1, trio.current_time())
        )
        network.claims_by_id["new"] = claims
        repeat = await claim(network, "new")
        assert repeat.error.code == ResultCode.DUPLICATE_IN_FLIGHT

    run(scenario)


class FewPeers:
    __slots__ = ("inner", "known", "answer", "ask")

    def __init__(self, inner, known):
        self.inner = inner
        self.known = known
        self.answer = inner.answer
        self.ask = inner.ask

    def members(self):
        return self.known


ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just("claim"), st.integers(0, 11)),
        st.tuples(st.just("restart"), st.integers(0, 11)),
        st.tuples(st.just("stop"), st.integers(0, 11)),
        st.tuples(st.just("roll"), st.integers(1, 8)),
        st.tuples(st.just("join"), st.integers(9, 11)),
        st.tuples(st.just("cut"), st.integers(0, 2)),
        st.tuples(st.just("heal"), st.just(0)),
        st.tuples(st.just("lose"), st.integers(0, 8)),
        st.tuples(st.just("race"), st.integers(0, 8)),
        st.tuples(st.just("gone"), st.integers(0, 8)),
        st.tuples(st.just("wait"), st.integers(1, 60)),
    ),
    min_size=3,
    max_size=25,
)


@settings(max_examples=60, deadline=None)
@given(ACTIONS)
def test_a_key_is_granted_once_through_restarts_cuts_losses_and_joins(actions):
    """Two copies of one request never both run.

    One key is claimed through hosts at random while hosts restart empty, join,
    leave for good, are cut off by zones and lose answers; no grant is released.
    """

    async def scenario(network):
        grants = []
        for name, number in actions:
            if trio.current_time() > EXPIRES_S - 40:
                return
            await play(network, name, number, grants)
            assert len(grants) <= 1

    run(scenario)


async def play(network, name, number, grants):
    host = KnownHost(f"h{number}", ZONES[number % 3])
    running = host.id in network.peers_by_id
    match name:
        case "claim" if running:
            await claim_into(network, host.id, grants)
        case "race":
            async with trio.open_nursery() as nursery:
                for each in (host.id, f"h{(number + 4) % 9}"):
                    if each in network.peers_by_id:
                        nursery.start_soon(claim_into, network, each, grants)
        case "restart" | "join":
            network.start(host)
        case "roll":
            for each in HOSTS[: number + 1]:
                network.start(each)
        case "stop" if running:
            network.stop(host.id)
        case "gone" if running:
            network.stop(host.id)
            for claims in network.claims_by_id.values():
                claims.mark_gone(host.id)
        case "cut":
            network.cut_off = {
                each for each in network.claims_by_id if int(each[1:]) % 3 == number
            }
        case "heal":
            network.cut_off = set()
            network.lost_answers = set()
        case "lose":
            network.lost_answers |= {
                (f"h{each}", host.id) for each in range(0, 12, number + 1)
            }
        case "wait":
            await trio.sleep(number)


async def claim_into(network, host_id, grants):
    result = await claim(network, host_id)
    if granted(result):
        grants.append(host_id)


def test_keepers_spread_over_zones_and_newcomers_only_push_others_down():
    many = [KnownHost(f"n{number}", f"zone-{number % 5}") for number in range(60)]
    for key in range(50):
        before, after = Universe(600.0), Universe(600.0)
        before.add(many[:30])
        after.add(many)
        place = ("w", str(key))
        old = before.keepers(place, 0.0).voters
        new = after.keepers(place, 0.0).voters
        assert len(new) == 9
        assert {each for each in new if int(each[1:]) < 30} <= set(old)


def test_those_who_move_up_for_a_host_that_is_gone_record_before_they_vote():
    universe = Universe(600.0)
    universe.add([KnownHost(f"n{number}", "z") for number in range(20)])
    voters = universe.keepers(("w", "k"), 0.0).voters
    universe.mark_gone(voters[0], 10.0)
    meanwhile = universe.keepers(("w", "k"), 11.0)
    assert meanwhile.voters == voters
    later = universe.keepers(("w", "k"), 611.0)
    assert later.voters == (*voters[1:], *meanwhile.witnesses)


def test_a_full_book_refuses_and_drops_answers_but_no_record():
    book = ClaimBook(max_records=3)
    large = bytes(60_000)

    def record(key):
        return ClaimRecord("w", key, "d", key, "h", 1, 100.0)

    assert [book.put(record(key), 0.0) for key in "abcd"] == [True, True, True, False]
    book = ClaimBook()
    for number in range(MAX_ANSWERS_BYTES // len(large) + 5):
        key = str(number)
        book.put(record(key), 0.0)
        book.settle(("w", key), key, ClaimState.FINISHED, large, 0.0)
    oldest = book.find(("w", "0"), 1.0)
    assert (oldest.state, oldest.answer) == (ClaimState.FINISHED, None)
    assert book.find(("w", key), 1.0).answer == large
    assert book.put(record("z"), 200.0)
    assert len(book) == 1


class OneObject:
    """A store of one object with conditional writes; some answers are lost."""

    __slots__ = ("stored", "random")

    def __init__(self):
        self.stored = None
        self.random = random.Random(5)

    async def read(self, kind, name):
        await trio.sleep(self.random.random() / 100)
        if self.stored is None:
            return Error(fault(ResultCode.OBJECT_NOT_FOUND))
        return Ok(self.stored)

    async def write(self, kind, name, value, expected_version):
        await trio.sleep(self.random.random() / 100)
        version = self.stored.version if self.stored else 0
        if version != expected_version:
            return Error(fault(ResultCode.PLATFORM_CONFLICT))
        self.stored = StoredObject(kind, name, version + 1, value)
        if self.random.random() < 0.3:
            return Error(fault(ResultCode.PLATFORM_AMBIGUOUS))
        return Ok(self.stored)


def test_founders_know_each_other_and_a_restarted_one_is_no_founder():
    async def main():
        platform = OneObject()
        founded = {}

        async def start(host, incarnation, after_s):
            await trio.sleep(after_s)
            founder = Founder(host, incarnation)
            hosts = await join_founding(platform, founder)
            founded[host.id, incarnation] = {each.id for each in hosts}

        async with trio.open_nursery() as nursery:
            for number, host in enumerate(HOSTS):
                nursery.start_soon(start, host, 1, number / 5)
            nursery.start_soon(start, HOSTS[0], 2, 30.0)
            nursery.start_soon(start, KnownHost("late", "z"), 1, 30.0)
        everyone = {host.id for host in HOSTS}
        assert founded.pop(("h0", 2)) == founded.pop(("late", 1)) == set()
        assert set(map(frozenset, founded.values())) == {frozenset(everyone)}

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@settings(max_examples=100, deadline=None)
@given(st.binary(max_size=300))
def test_garbage_from_a_peer_is_a_fault_and_never_an_exception(payload):
    for decode in (decode_ask, decode_answer, decode_record):
        decode(payload, 0.0)
