"""Tests of requests that crash their targets, at entry hosts that share reports."""

from contextlib import asynccontextmanager

import trio
import trio.testing
from expression import Error, Ok

from radishfield.core import (
    LayerRange,
    Member,
    Outcome,
    Profile,
    Request,
    ResultCode,
    ServiceRequest,
    Target,
    TargetKind,
    TrioClock,
    fault,
)
from radishfield.crashes import (
    CrashGuard,
    CrashReport,
    RequestTraits,
    TargetCrashEntry,
    part_trait,
)
from radishfield.decisions import Scheduler
from radishfield.fleet import SpreadSettings
from radishfield.serving import CrashSharing, Dispatcher, TargetCrashes
from radishfield.serving._target_crashes import digest_of

TARGETS = 8
LAYERS = LayerRange(0, 4)
DEADLINE_S = 30.0


class CrashingTargets:
    """Targets that crash when they start to run a request, or hold it forever."""

    def __init__(self, holds=False):
        self.crashed = []
        self.opened = []
        self._holds = holds

    @asynccontextmanager
    async def open_stream(self, target, start):
        self.opened.append(target.id)
        if self._holds:
            await trio.sleep_forever()
        if target.id in self.crashed:
            yield Error(fault(ResultCode.CONNECT_FAILED))
            return
        self.crashed.append(target.id)
        yield Ok(BrokenStream())

    @asynccontextmanager
    async def reopen_stream(self, target, request_id, attempt, position):
        yield Error(fault(ResultCode.CONNECT_FAILED))

    async def call(self, target, request):
        if target.id in self.crashed:
            return Error(fault(ResultCode.CONNECT_FAILED))
        self.crashed.append(target.id)
        return Error(fault(ResultCode.STREAM_BROKEN))

    async def cancel(self, target, request_id, attempt):
        return Ok(None)

    async def check_listening(self, target):
        return target.id not in self.crashed


class BrokenStream:
    async def next_tokens(self):
        return Error(fault(ResultCode.STREAM_BROKEN))


class Peers:
    """The network between hosts that all reach each other unless partitioned."""

    def __init__(self):
        self.handler_by_host = {}
        self.partitioned = set()

    def for_host(self, host_id):
        return PeersOfHost(self, host_id)


class PeersOfHost:
    def __init__(self, peers, host_id):
        self._peers = peers
        self._host_id = host_id

    def members(self):
        return [Member(name, "a", name, 1) for name in self._peers.handler_by_host]

    def hear(self, topic, handler):
        self._peers.handler_by_host[self._host_id] = handler

    async def tell(self, members, topic, payload):
        for member in members:
            if not {member, self._host_id} & self._peers.partitioned:
                self._peers.handler_by_host[member](self._host_id, payload)


def target(number, kind):
    name = f"t{number}"
    return Target(
        name, name, "a", "127.0.0.1:1", kind, model="m", layers=LAYERS, model_layers=4
    )


async def add_host(
    nursery, peers, targets, name, kind=TargetKind.ENGINE, count=TARGETS
):
    """Start an entry host's dispatcher; return it with its guard."""
    guard = CrashGuard(name, TrioClock())
    sharing = CrashSharing(SpreadSettings(name, "a"), peers.for_host(name), guard)
    await nursery.start(sharing.run)
    dispatcher = Dispatcher(
        Scheduler(),
        targets,
        TrioClock(),
        crashes=TargetCrashes(guard, targets.check_listening),
    )
    await nursery.start(dispatcher.run)
    dispatcher.set_targets([target(number, kind) for number in range(count)], "a")
    return dispatcher, guard


def request(name, idempotent=True):
    now = trio.current_time()
    profile = Profile("p", "m", idempotent=idempotent)
    return Request(
        name, "w", profile, "hello", 3, now, now + DEADLINE_S, body_digest="same"
    )


def service_request(name):
    now = trio.current_time()
    profile = Profile("p", "m", TargetKind.SERVICE)
    return ServiceRequest(
        name, "w", profile, "POST", "/x", b"", now, now + DEADLINE_S, body_digest="same"
    )


def run_scenario(scenario):
    async def main():
        with trio.fail_after(300):
            async with trio.open_nursery() as nursery:
                await scenario(nursery, Peers())
                nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))


def assert_refused_and_not_run(result):
    assert result.error.code is ResultCode.CRASHES_TARGETS
    assert result.error.outcome is Outcome.NOT_RUN
    assert result.error.retry_after_s > 60


def test_stream_that_crashes_its_targets_is_refused_by_every_host():
    """Guards against every entry host detecting crashes anew at four more targets."""

    async def scenario(nursery, peers):
        targets = CrashingTargets()
        hosts = [await add_host(nursery, peers, targets, name) for name in "ab"]
        first = await hosts[0][0].generate(request("r1"), None)
        assert first.error.code is ResultCode.CRASHES_TARGETS
        assert first.error.outcome is Outcome.UNKNOWN
        assert len(targets.crashed) == 3
        assert_refused_and_not_run(await hosts[1][0].generate(request("r2"), None))
        assert len(targets.crashed) == 3

    run_scenario(scenario)


def test_plain_call_that_crashes_its_targets_is_refused_by_every_host():
    """Guards against the same failure for plain services."""

    async def scenario(nursery, peers):
        targets = CrashingTargets()
        kind = TargetKind.SERVICE
        hosts = [await add_host(nursery, peers, targets, name, kind) for name in "ab"]
        for number in range(3):
            dispatcher, _ = hosts[number % 2]
            await dispatcher.call_service(service_request(f"r{number}"))
            await trio.sleep(1.0)
        assert len(targets.crashed) == 3
        assert_refused_and_not_run(
            await hosts[0][0].call_service(service_request("r9"))
        )

    run_scenario(scenario)


def test_crashes_under_non_idempotent_requests_are_counted_over_hosts():
    """Guards against resent non-idempotent requests that crash one target each."""

    async def scenario(nursery, peers):
        targets = CrashingTargets()
        hosts = [await add_host(nursery, peers, targets, name) for name in "abc"]
        for number in range(6):
            dispatcher, _ = hosts[number % 3]
            await dispatcher.generate(request(f"r{number}", idempotent=False), None)
            await trio.sleep(0.5)
        assert len(targets.crashed) == 3

    run_scenario(scenario)


def conversation(number, *parts):
    """Return a request that shares only parts of its prompt with others."""
    now = trio.current_time()
    return Request(
        f"r{number}",
        "w",
        Profile("p", "m"),
        f"question {number}",
        3,
        now,
        now + DEADLINE_S,
        body_digest=f"body-{number}",
        shared_parts=parts,
    )


def test_message_that_crashes_targets_is_refused_in_each_conversation():
    """Guards against counting by whole requests where a message is the cause."""

    async def scenario(nursery, peers):
        targets = CrashingTargets()
        hosts = [await add_host(nursery, peers, targets, name) for name in "abc"]
        for number in range(6):
            dispatcher, guard = hosts[number % 3]
            guard.record_survival(RequestTraits("known", (part_trait("5e"),)), "r0")
            await dispatcher.generate(conversation(number, "5e", "bad"), None)
            await trio.sleep(0.5)
        assert len(targets.crashed) <= 4
        for dispatcher, guard in hosts:
            result = await dispatcher.generate(conversation(9, "5e", "bad"), None)
            assert_refused_and_not_run(result)
            sound = RequestTraits("other", (part_trait("5e"), part_trait("6f")))
            assert guard.refusal(sound, "r", may_have_run=False) is None

    run_scenario(scenario)


def test_host_that_missed_a_crash_report_receives_it_later():
    """Guards against a started or reconnected host that must detect crashes itself."""

    async def scenario(nursery, peers):
        targets = CrashingTargets()
        hosts = [await add_host(nursery, peers, targets, name) for name in "ab"]
        peers.partitioned = {"b"}
        await hosts[0][0].generate(request("r1"), None)
        late, _ = await add_host(nursery, peers, targets, "c")
        peers.partitioned = set()
        await trio.sleep(3.0)
        for dispatcher in (hosts[1][0], late):
            assert_refused_and_not_run(await dispatcher.generate(request("r2"), None))
        assert len(targets.crashed) == 3

    run_scenario(scenario)


def report_crashes(guard, digest):
    ends = [TargetCrashEntry(f"gone-{number}", 1, "z", 1.0) for number in range(3)]
    guard.learn([CrashReport(digest, ends)], "z")


async def result_after_crash_reports(nursery, dispatcher, guard, name="r1"):
    """Send a request, prove that it crashes targets, and return its result."""
    results = []
    pending_request = request(name)

    async def call():
        results.append(await dispatcher.generate(pending_request, None))

    nursery.start_soon(call)
    await trio.sleep(0.5)
    report_crashes(guard, digest_of(pending_request))
    await trio.sleep(0.5)
    return results[0]


def fill_queue(nursery, dispatcher):
    """Send enough requests that the next one has to wait."""
    profile = Profile("p", "m")
    for number in range(40):
        digest = f"other-{number}"
        other = Request(digest, "w", profile, "", 3, 0.0, 100.0, body_digest=digest)
        nursery.start_soon(dispatcher.generate, other, None)


def test_queued_request_is_refused_at_once():
    """Guards against a request that waits its full queue time before it is refused."""

    async def scenario(nursery, peers):
        targets = CrashingTargets(holds=True)
        dispatcher, guard = await add_host(nursery, peers, targets, "a", count=1)
        fill_queue(nursery, dispatcher)
        await trio.sleep(0.1)
        opened = len(targets.opened)
        result = await result_after_crash_reports(nursery, dispatcher, guard)
        assert_refused_and_not_run(result)
        assert len(targets.opened) == opened

    run_scenario(scenario)


def test_request_cleared_while_it_leaves_the_queue_is_not_finished():
    """Guards against an empty answer sent as complete to a request that never ran."""

    async def scenario(nursery, peers):
        targets = CrashingTargets(holds=True)
        dispatcher, guard = await add_host(nursery, peers, targets, "a", count=0)
        pending_request, results = request("r1"), []

        async def call():
            results.append(await dispatcher.generate(pending_request, None))

        dispatcher.set_targets([target(0, TargetKind.ENGINE)], "a")
        fill_queue(nursery, dispatcher)
        await trio.sleep(0.1)
        nursery.start_soon(call)
        await trio.sleep(0.5)
        ends = [TargetCrashEntry(f"gone-{number}", 1, "z", 1.0) for number in range(3)]
        now = trio.current_time()
        guard.book.merge(CrashReport(digest_of(pending_request), ends), now)
        guard._look(
            lambda digest, verdict: guard.record_survival(RequestTraits(digest), "r0")
        )
        await trio.sleep(0.1)
        assert results[0].error.outcome is Outcome.NOT_RUN

    run_scenario(scenario)


def test_sent_request_is_stopped_before_its_target_runs_it():
    """Guards against a target crashed by a request that was sent before the proof."""

    async def scenario(nursery, peers):
        targets = CrashingTargets(holds=True)
        dispatcher, guard = await add_host(nursery, peers, targets, "a")
        result = await result_after_crash_reports(nursery, dispatcher, guard)
        assert result.error.code is ResultCode.CRASHES_TARGETS
        assert result.error.outcome is Outcome.UNKNOWN

    run_scenario(scenario)


def test_broken_connections_to_running_targets_do_not_count_as_crashes():
    """Guards against a reset connection counted as a crash of its target."""

    async def scenario(nursery, peers):
        targets = CrashingTargets()
        targets.check_listening = always_listening
        dispatcher, guard = await add_host(nursery, peers, targets, "a")
        for number in range(3):
            result = await dispatcher.generate(request(f"r{number}"), None)
            assert result.error.code is not ResultCode.CRASHES_TARGETS
            await trio.sleep(10.0)
        assert len(guard.book) == 0

    run_scenario(scenario)


async def always_listening(target):
    return True
