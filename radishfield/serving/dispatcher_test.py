"""Tests of the dispatcher against a scripted target, in virtual time."""

from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing
from expression import Error, Ok

from radishfield.core import (
    Fault,
    Hop,
    LayerRange,
    Outcome,
    Profile,
    Receipt,
    Request,
    ResultCode,
    Target,
    Token,
    TrioClock,
    fault,
)
from radishfield.decisions import Scheduler
from radishfield.serving import Dispatcher

LAYERS = LayerRange(0, 4)


class ScriptedTargets:
    """A `TargetPort` whose streams follow a script, one list per connection.

    An ``int`` item is a token's position, a `Fault` ends the connection, and None
    waits forever.  A script that is itself a `Fault` makes the opening fail.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.opened = []
        self.cancelled = []

    @asynccontextmanager
    async def open_stream(self, target, start):
        self.opened.append(("start", target.id, len(start.committed)))
        yield self._next_script(target, start.request_id, start.attempt)

    @asynccontextmanager
    async def reopen_stream(self, target, request_id, attempt, position):
        self.opened.append(("reopen", target.id, position))
        yield self._next_script(target, request_id, attempt)

    def _next_script(self, target, request_id, attempt):
        script = self.scripts.pop(0)
        if isinstance(script, Fault):
            return Error(script)
        return Ok(ScriptedStream(script, target.id, request_id, attempt))

    async def cancel(self, target, request_id, attempt):
        self.cancelled.append((target.id, attempt))
        return Ok(None)


class ScriptedStream:
    def __init__(self, script, target_id, request_id, attempt):
        self.script = list(script)
        self.receipt_head = (request_id, attempt)
        self.hops = (Hop(target_id, LAYERS),)

    async def next_tokens(self):
        item = self.script.pop(0)
        if item is None:
            await trio.sleep_forever()
        if isinstance(item, Fault):
            return Error(item)
        receipt = Receipt(*self.receipt_head, item, self.hops)
        finish = "length" if item == 2 else None
        return Ok((Token(item, f"w{item}", receipt, finish),))


class ListSink:
    def __init__(self):
        self.texts = []

    async def push(self, token):
        self.texts.append(token.text)


def engine(name):
    return Target(
        name, name, "a", "127.0.0.1:1", model="m", layers=LAYERS, model_layers=4
    )


def serve_request(targets, idempotent=True, caller_timeout_s=None):
    """Serve one request; return its result, the texts and the dispatcher."""
    sink = ListSink()
    dispatcher = Dispatcher(Scheduler(), targets, TrioClock())
    results = []

    async def main():
        async with trio.open_nursery() as nursery:
            await nursery.start(dispatcher.run)
            dispatcher.set_targets([engine("one"), engine("two")], "a")
            now = trio.current_time()
            profile = Profile("p", "m", idempotent=idempotent)
            request = Request("r", "w", profile, "hello", 3, now, now + 30.0)
            with trio.move_on_after(caller_timeout_s or 1000):
                results.append(await dispatcher.generate(request, sink))
            await trio.sleep(2)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return (results[0] if results else None), sink.texts, dispatcher


def test_complete_answer():
    result, texts, dispatcher = serve_request(ScriptedTargets([0, 1, 2]))
    assert result.ok.reason == "length"
    assert texts == ["w0", "w1", "w2"]
    assert dispatcher.in_flight == 0


def test_silent_connection_is_replaced_before_its_target_counts_as_faulty():
    """The caller receives one complete answer, without a retry.

    The first connection goes silent after one token.  A new connection attaches
    to the same attempt and delivers the rest.  Nothing is started twice, so this is
    correct even for a request that may not run twice.
    """
    targets = ScriptedTargets([0, fault(ResultCode.STREAM_SILENT)], [1, 2])
    result, texts, _ = serve_request(targets, idempotent=False)
    assert result.is_ok()
    assert texts == ["w0", "w1", "w2"]
    assert [kind for kind, _, _ in targets.opened] == ["start", "reopen"]


def test_target_that_does_not_answer_a_new_connection_is_faulty_at_once():
    """The caller's answer continues at another target after one silent reopening.

    The first stage is stopped, so its connection goes silent and so does the new
    one.  The target is at fault, not the network path, and a second reopening would
    only make the caller wait as long again.
    """
    silent = fault(ResultCode.STREAM_SILENT)
    targets = ScriptedTargets([0, silent], silent, [1, 2])
    result, texts, _ = serve_request(targets)
    assert result.is_ok()
    assert texts == ["w0", "w1", "w2"]
    assert [kind for kind, _, _ in targets.opened] == ["start", "reopen", "start"]


def test_silence_alone_does_not_end_an_attempt_that_cannot_be_replaced():
    """The caller's started answer is not aborted while its target may continue.

    The host receives nothing for a while, on the first connection and on new ones.
    The request may not run twice, so no other attempt could replace this one.
    """
    silent = fault(ResultCode.STREAM_SILENT)
    targets = ScriptedTargets([0, silent], silent, silent, [1, silent], silent, [2])
    result, texts, _ = serve_request(targets, idempotent=False)
    assert result.is_ok(), result
    assert texts == ["w0", "w1", "w2"]
    assert [kind for kind, _, _ in targets.opened] == ["start"] + ["reopen"] * 5
    assert targets.cancelled == []


def test_idempotent_request_resumes_elsewhere_after_a_stage_died():
    """The caller receives one complete answer.

    The stage dies after two tokens.  The next attempt starts at another target
    with both committed tokens, and the old attempt is cancelled.
    """
    died = fault(ResultCode.STAGE_FAILED)
    targets = ScriptedTargets([0, 1, died], [2])
    result, texts, _ = serve_request(targets)
    assert result.is_ok()
    assert texts == ["w0", "w1", "w2"]
    first, second = targets.opened
    assert second == ("start", "two" if first[1] == "one" else "one", 2)
    assert targets.cancelled == [(first[1], 1)]


def test_non_idempotent_request_is_not_started_again():
    """The caller receives an unknown outcome.

    The stage dies during the first token.  The request may have run, so it is not
    started anywhere else.
    """
    targets = ScriptedTargets([fault(ResultCode.STAGE_FAILED)])
    result, texts, _ = serve_request(targets, idempotent=False)
    assert result.error.outcome is Outcome.UNKNOWN
    assert len(targets.opened) == 1
    assert texts == []


def test_not_run_is_reported_only_while_no_attempt_has_started():
    """The caller receives "not run", since every target refused the connection."""
    refused = Fault(ResultCode.CONNECT_FAILED, proven_outcome=Outcome.NOT_RUN)
    targets = ScriptedTargets(refused, refused, refused, refused, refused)
    result, _, _ = serve_request(targets, idempotent=False)
    assert result.error.outcome is Outcome.NOT_RUN


def test_late_refusal_does_not_hide_an_earlier_start():
    """The caller receives "unknown", although the last attempt never started.

    The first attempt breaks after it was sent, and all later ones fail to connect.
    The last failure proves the outcome of its own attempt only.
    """
    refused = Fault(ResultCode.CONNECT_FAILED, proven_outcome=Outcome.NOT_RUN)
    died = fault(ResultCode.STAGE_FAILED)
    targets = ScriptedTargets([died], refused, refused, refused, refused)
    result, _, _ = serve_request(targets)
    assert result.error.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("idempotent", [True, False])
def test_deadline_ends_a_request_that_hangs(idempotent):
    """The caller receives an unknown outcome at the deadline."""
    targets = ScriptedTargets([0, None])
    result, texts, dispatcher = serve_request(targets, idempotent)
    assert result.error.code is ResultCode.DEADLINE_PASSED
    assert result.error.outcome is Outcome.UNKNOWN
    assert texts == ["w0"]
    assert targets.cancelled and dispatcher.in_flight == 0


def test_cancelled_caller_leaves_nothing_behind():
    """When the caller disconnects, its attempt is cancelled at the target."""
    targets = ScriptedTargets([0, None])
    result, _, dispatcher = serve_request(targets, caller_timeout_s=1.0)
    assert result is None
    assert len(targets.cancelled) == 1
    assert dispatcher.in_flight == 0 and dispatcher.queued == 0
