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
    """A `TargetPort` whose streams follow a script, one list a connection.

    An ``int`` item is a token's position; a `Fault` ends the connection; None
    waits for ever.  A script that is a `Fault` fails the opening.
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


def run_one(targets, idempotent=True, patience_s=None):
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
            with trio.move_on_after(patience_s or 1000):
                results.append(await dispatcher.generate(request, sink))
            await trio.sleep(2)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return (results[0] if results else None), sink.texts, dispatcher


def test_whole_answer():
    result, texts, dispatcher = run_one(ScriptedTargets([0, 1, 2]))
    assert result.ok.reason == "length"
    assert texts == ["w0", "w1", "w2"]
    assert dispatcher.in_flight == 0


def test_silent_connection_is_replaced_before_its_target_is_judged():
    """The caller sees one whole answer, without a retry.

    The first connection goes silent after one token.  A new connection attaches
    to the same attempt and brings the rest: nothing is started twice, so this
    is right even for a request that may not run twice.
    """
    targets = ScriptedTargets([0, fault(ResultCode.STREAM_SILENT)], [1, 2])
    result, texts, _ = run_one(targets, idempotent=False)
    assert result.is_ok()
    assert texts == ["w0", "w1", "w2"]
    assert [kind for kind, _, _ in targets.opened] == ["start", "reopen"]


def test_target_that_does_not_answer_a_new_connection_is_judged_at_once():
    """The caller's answer goes on elsewhere after one silent reopening.

    The first stage is stopped: its connection goes silent, and so does the new
    one.  It is the target, not the path; a second reopening would only make the
    caller wait as long again.
    """
    silent = fault(ResultCode.STREAM_SILENT)
    targets = ScriptedTargets([0, silent], silent, [1, 2])
    result, texts, _ = run_one(targets)
    assert result.is_ok()
    assert texts == ["w0", "w1", "w2"]
    assert [kind for kind, _, _ in targets.opened] == ["start", "reopen", "start"]


def test_silence_alone_does_not_end_an_attempt_that_none_may_follow():
    """The caller's begun answer is not cut while its target may go on.

    The host hears nothing for a while, on the first connection and on new ones.
    The request may not run twice, so nothing could take the attempt's place.
    """
    silent = fault(ResultCode.STREAM_SILENT)
    targets = ScriptedTargets([0, silent], silent, silent, [1, silent], silent, [2])
    result, texts, _ = run_one(targets, idempotent=False)
    assert result.is_ok(), result
    assert texts == ["w0", "w1", "w2"]
    assert [kind for kind, _, _ in targets.opened] == ["start"] + ["reopen"] * 5
    assert targets.cancelled == []


def test_idempotent_request_resumes_elsewhere_after_a_stage_died():
    """The caller sees one whole answer.

    The stage dies after two tokens.  The next attempt starts at another target
    with both committed tokens, and the old attempt is cancelled.
    """
    died = fault(ResultCode.STAGE_FAILED)
    targets = ScriptedTargets([0, 1, died], [2])
    result, texts, _ = run_one(targets)
    assert result.is_ok()
    assert texts == ["w0", "w1", "w2"]
    first, second = targets.opened
    assert second == ("start", "two" if first[1] == "one" else "one", 2)
    assert targets.cancelled == [(first[1], 1)]


def test_request_that_may_not_run_twice_is_not_started_again():
    """The caller is told that the outcome is unknown.

    The stage dies in the first token.  The request may have run, so it is not
    started anywhere else.
    """
    targets = ScriptedTargets([fault(ResultCode.STAGE_FAILED)])
    result, texts, _ = run_one(targets, idempotent=False)
    assert result.error.outcome is Outcome.UNKNOWN
    assert len(targets.opened) == 1
    assert texts == []


def test_not_run_is_told_only_while_no_attempt_has_started():
    """The caller is told "not run": every target refused the connection."""
    refused = Fault(ResultCode.CONNECT_FAILED, proven_outcome=Outcome.NOT_RUN)
    targets = ScriptedTargets(refused, refused, refused, refused, refused)
    result, _, _ = run_one(targets, idempotent=False)
    assert result.error.outcome is Outcome.NOT_RUN


def test_late_refusal_does_not_hide_an_earlier_start():
    """The caller is told "unknown", although the last attempt never started.

    The first attempt breaks after it was handed over, all later ones fail to
    connect.  What the last failure proves holds for its own attempt only.
    """
    refused = Fault(ResultCode.CONNECT_FAILED, proven_outcome=Outcome.NOT_RUN)
    died = fault(ResultCode.STAGE_FAILED)
    targets = ScriptedTargets([died], refused, refused, refused, refused)
    result, _, _ = run_one(targets)
    assert result.error.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("idempotent", [True, False])
def test_deadline_ends_a_request_that_hangs(idempotent):
    """The caller hears at the deadline that the outcome is unknown."""
    targets = ScriptedTargets([0, None])
    result, texts, dispatcher = run_one(targets, idempotent)
    assert result.error.code is ResultCode.DEADLINE_PASSED
    assert result.error.outcome is Outcome.UNKNOWN
    assert texts == ["w0"]
    assert targets.cancelled and dispatcher.in_flight == 0


def test_cancelled_caller_leaves_nothing_behind():
    """The caller disconnects; its attempt is cancelled at the target."""
    targets = ScriptedTargets([0, None])
    result, _, dispatcher = run_one(targets, patience_s=1.0)
    assert result is None
    assert len(targets.cancelled) == 1
    assert dispatcher.in_flight == 0 and dispatcher.queued == 0
