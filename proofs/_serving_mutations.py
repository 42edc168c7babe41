"""Small deliberate faults, each of which removes one safeguard of radishfield.

They show which faults the fuzz tests catch.  Each mutation patches one public
method, so that internal changes don't break it.  The mutation tests apply one at a
time and assert that the fuzz run, which passes without it, fails.
"""

from collections.abc import Callable
from dataclasses import replace

import pytest
import trio
from expression import Error, Result

from radishfield.core import Hop, Outcome, TargetState
from radishfield.decisions import Scheduler
from radishfield.pipeline import PipelineState
from radishfield.serving import Dispatcher

Mutation = Callable[[pytest.MonkeyPatch], None]


def retry_after_a_start(patch: pytest.MonkeyPatch) -> None:
    """Retry a request that has started although it may not run twice."""
    real = Scheduler.failed

    def failed(self, failure, now):
        return real(self, replace(failure, started=False), now)

    patch.setattr(Scheduler, "failed", failed)


def commit_any_attempt(patch: pytest.MonkeyPatch) -> None:
    """Commit a late token of an older attempt, or of another request."""

    def rewrite_token(self, token):
        receipt = replace(
            token.receipt, request_id=self.request_id, attempt=self.attempt
        )
        return replace(token, receipt=receipt)

    _patch_commit(patch, rewrite_token)


def commit_any_position(patch: pytest.MonkeyPatch) -> None:
    """Commit a token that was repeated, or that leaves a gap."""

    def rewrite_token(self, token):
        position = self.next_position
        receipt = replace(token.receipt, position=position)
        return replace(token, position=position, receipt=receipt)

    _patch_commit(patch, rewrite_token)


def commit_any_hops(patch: pytest.MonkeyPatch) -> None:
    """Commit a token that skipped a stage, or passed one twice."""

    def rewrite_token(self, token):
        stages = self.route.stages
        hops = tuple(Hop(stage.target_id, stage.layers) for stage in stages)
        return replace(token, receipt=replace(token.receipt, hops=hops))

    _patch_commit(patch, rewrite_token)


def tell_not_run_after_a_start(patch: pytest.MonkeyPatch) -> None:
    """Report "not run" to the caller whatever has been sent."""
    _patch_generate(
        patch,
        lambda problem: Error(replace(problem, proven_outcome=Outcome.NOT_RUN)),
    )


def take_a_truncated_stream_for_whole(patch: pytest.MonkeyPatch) -> None:
    """Report success when the stream ended without its last token."""
    real = PipelineState.commit

    def commit(self, token):
        committed = real(self, token)
        if committed.is_ok() and self.next_position == 2:
            self.finish = "stop"
        return committed

    patch.setattr(PipelineState, "commit", commit)


def dispatch_after_withdraw(patch: pytest.MonkeyPatch) -> None:
    """Leave withdrawn work in the queue."""
    patch.setattr(Scheduler, "withdraw", lambda self, request_id, now: True)


def keep_what_has_ended(patch: pytest.MonkeyPatch) -> None:
    """Never free the resources of work that has ended."""
    patch.setattr(Scheduler, "ended", lambda self, request_id, finished, now: None)


def ignore_that_a_target_leaves(patch: pytest.MonkeyPatch) -> None:
    """Send new work to leaving targets."""
    real = Scheduler.set_fleet

    def set_fleet(self, targets, links, zone, entry_hosts, now):
        live = [replace(target, state=TargetState.LIVE) for target in targets]
        real(self, live, links, zone, entry_hosts, now)

    patch.setattr(Scheduler, "set_fleet", set_fleet)


def hold_the_final_answer_back(patch: pytest.MonkeyPatch) -> None:
    """Delay the final answer to a failed request until shortly before its deadline."""
    real = Dispatcher.generate

    async def generate(self, request, sink):
        result = await real(self, request, sink)
        if result.is_error():
            await trio.sleep_until(request.deadline - 0.01)
        return result

    patch.setattr(Dispatcher, "generate", generate)


def wait_past_the_deadline(patch: pytest.MonkeyPatch) -> None:
    """Let requests run far past their deadlines."""
    real = Dispatcher.generate

    async def generate(self, request, sink):
        return await real(self, replace(request, deadline=request.deadline + 60), sink)

    patch.setattr(Dispatcher, "generate", generate)


def _patch_commit(patch: pytest.MonkeyPatch, rewrite_token) -> None:
    real = PipelineState.commit

    def commit(self, token):
        return real(self, rewrite_token(self, token))

    patch.setattr(PipelineState, "commit", commit)


def _patch_generate(patch: pytest.MonkeyPatch, on_error) -> None:
    real = Dispatcher.generate

    async def generate(self, request, sink):
        match await real(self, request, sink):
            case Result(tag="error", error=problem):
                return on_error(problem)
            case result:
                return result

    patch.setattr(Dispatcher, "generate", generate)


SERVING_MUTATIONS: tuple[Mutation, ...] = (
    retry_after_a_start,
    commit_any_attempt,
    commit_any_position,
    commit_any_hops,
    tell_not_run_after_a_start,
    take_a_truncated_stream_for_whole,
    dispatch_after_withdraw,
    keep_what_has_ended,
    ignore_that_a_target_leaves,
    hold_the_final_answer_back,
    wait_past_the_deadline,
)
