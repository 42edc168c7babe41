"""Sends calls to targets and classifies failures by whether the call may have run."""

from collections.abc import Callable

import msgspec
import trio
from expression import Error, Ok, Result

from radishfield.core import Fault, Outcome, ResultCode, fault
from radishfield.forwarding._call import Call
from radishfield.forwarding._connections import (
    MAX_LOGGED_ID,
    Exchange,
    Outgoing,
    TargetConnections,
)
from radishfield.forwarding._view import RouterView
from radishfield.platform import (
    ORDER_PATH,
    REPORT_PATH,
    AnswerFacts,
    TargetRequestFacts,
    decode_report,
    order_headers,
    parse_rate_limit,
    target_headers,
)
from radishfield.routing import (
    UNREADABLE_REST_S,
    NoKeyNeeded,
    Path,
    TargetRecord,
    TargetReport,
    UnknownKey,
    parse_rest_s,
)
from radishfield.telemetry import DeferredTelemetry, log_event

REPORT_TIMEOUT_S = 0.4
"""A report needs no slot in the target's queue, and a live target of the region
answers in milliseconds.  One lost packet must not count as a dead target."""
ORDER_TIMEOUT_S = 1.5
MISDIRECTED = 421
UNAVAILABLE = 503
MAX_LOGGED_LIMIT = 40
"""Characters of a limit or rest that are logged as they were named."""
MAX_REFUSAL_S = 1.0
OTHER_HOST_RETRY_S = 0.1
STORE_DOWN_RETRY_S = 3.5
"""A store that has been unreachable for this long mostly stays so for seconds more.
Callers retry once, so the delay avoids a retry that would fail as well."""


class OrderAnswer(msgspec.Struct, frozen=True):
    """A target's answer to an order; the body names the obstacle."""

    status: int
    body: bytes


class _ShortAnswer(msgspec.Struct, frozen=True):
    """A whole answer to a report request or an order that was sent at a given time."""

    facts: AnswerFacts
    body: bytes
    sent_at: float


class Targets:
    """Client for the targets: sends calls, report requests and orders.

    Answers to reports and orders carry no id that would tell them from a late answer
    to another request.  So they don't share connections with calls, and each order has
    a connection of its own.

    Parameters
    ----------
    connections : TargetConnections
        For calls.
    control_connections : TargetConnections
        For reports and orders.
    """

    __slots__ = (
        "_connections",
        "_control_connections",
        "_telemetry",
        "_unreadable_by_id",
        "_view",
        "foreign_answers",
        "orders_by_status",
        "reports",
    )

    def __init__(
        self,
        connections: TargetConnections,
        control_connections: TargetConnections,
        view: RouterView,
        telemetry: DeferredTelemetry,
    ):
        self._connections = connections
        self._control_connections = control_connections
        self._view = view
        self._telemetry = telemetry
        self._unreadable_by_id: dict[str, str] = {}
        self.foreign_answers = 0
        self.reports = 0
        self.orders_by_status: dict[int, int] = {}

    def sum_connections(self, count: Callable[[TargetConnections], int]) -> int:
        """Return the sum of a counter over the connections to targets."""
        return count(self._connections) + count(self._control_connections)

    def check(self, call: Call) -> Fault | None:
        """Return why a call may not be sent now, or None.

        Called right before each send: while a request waited or was attempted, its
        key may have been revoked, its route moved, or its deadline have passed.  A
        stream that has started ends under the configuration that admitted it, like
        streams whose targets don't fail.  A request that crashes its targets is not
        sent again, started or not.
        """
        now = self._view.clock.now()
        if now >= call.deadline_at:
            return _deadline_fault(call)
        refusal = self._view.crash_refusal(call)
        if refusal is not None:
            return refusal
        if call.responder.started:
            return None
        table = self._view.table
        path = call.target.partition(b"?")[0].decode("latin-1")
        route = table.match(call.facts.host, path)
        if route is None:
            return fault(ResultCode.UNKNOWN_ROUTE, "removed while the request waited")
        if not any(share.service == call.service.name for share in route.shares):
            detail = "route moved while the request waited"
            return fault(ResultCode.NO_TARGET, detail, MAX_REFUSAL_S / 4)
        match table.identify(route, call.facts.key):
            case NoKeyNeeded():
                return None
            case UnknownKey():
                return fault(ResultCode.UNAUTHORIZED, "key revoked")
            case workspace:
                call.workspace = workspace
        if not self._view.freshness.admits_keys(call.arrived_at):
            return stale_config_fault(self._view)
        return None

    def may_retry(self, call: Call, problem: Fault) -> bool:
        """Take a retry from the retry budget; False if none is left.

        Parameters
        ----------
        problem : Fault
            Why the previous attempt failed.
        """
        if call.arrived == 0:
            # No attempt has reached a target, so the next one is not a retry.
            return True
        if not self.reserve_retry(call):
            self._telemetry.refused(ResultCode.RETRY_BUDGET_SPENT)
            log_event(
                "retry.refused",
                request=call.facts.request_id,
                hosts=self._view.hosts,
                left=round(self._view.retries_left(call.service.name), 1),
            )
            return False
        call.retry_reserved = False
        self._telemetry.retried(problem.code)
        log_event(
            "attempt.repeated",
            request=call.facts.request_id,
            after=int(problem.code),
            sent=call.sent,
        )
        return True

    def reserve_retry(self, call: Call) -> bool:
        """Reserve a retry that is sent later; False if none is left."""
        if not call.retry_reserved:
            call.retry_reserved = self._view.take_retry(call.service.name)
        return call.retry_reserved

    def release_retry(self, call: Call) -> None:
        """Return a retry to the budget that was reserved and never sent."""
        if call.retry_reserved:
            call.retry_reserved = False
            self._view.budget(call.service.name).give_back()

    async def send(
        self,
        call: Call,
        record: TargetRecord,
        path: Path = (),
        last_event_id: bytes = b"",
        fresh: bool = False,
    ) -> Result[Exchange, Fault]:
        """Send a call to one target, and check that the answer belongs to it.

        Parameters
        ----------
        fresh : bool
            Over a new connection, as always for a call that may not be repeated.
        """
        now = self._view.clock.now()
        if self._view.rests.is_resting(record, now):
            return Error(self._rest_fault(call, record))
        if not self._view.limits.take(self._stages(record, path), now):
            return Error(self._limit_fault(call, record))
        self._view.rests.take(record, now)
        facts = TargetRequestFacts(
            target_id=record.id,
            remaining_s=call.deadline_at - now,
            workspace=call.workspace.name if call.workspace else None,
            path=path,
            last_event_id=last_event_id,
            priority=self._view.target_priority(call),
        )
        outgoing = Outgoing(
            call.method,
            call.target,
            target_headers(call.headers, facts, len(call.body)),
            call.body,
        )
        budget = self._view.budget(call.service.name)
        if call.sent == 0:
            budget.record_first_attempt(now)
        call.sent += 1
        # An answer proves by its id whose it is, unless the id was sent there before.
        is_id_new = bool(call.facts.request_id) and record.id not in call.tried
        call.tried.add(record.id)
        ran_there_before = record.id in call.ran_at
        call.ran_at.add(record.id)
        may_have_run_before, call.may_have_run = call.may_have_run, True
        fresh = fresh or not call.route.repeatable or not is_id_new
        call.arrived += 1
        sent = await self._send(self._connections, record, outgoing, fresh)
        if sent.is_error():
            if sent.error.code is ResultCode.CONNECT_FAILED:
                call.arrived -= 1
                if call.arrived:
                    # Only attempts that arrive at a target count as retries.
                    budget.give_back()
            self._handle_send_failure(call, record, sent.error)
            call.may_have_run = (
                may_have_run_before or sent.error.outcome is Outcome.UNKNOWN
            )
            if sent.error.outcome is Outcome.NOT_RUN and not ran_there_before:
                call.ran_at.discard(record.id)
            return sent
        exchange = sent.ok
        log_event(
            "attempt.answered",
            request=call.facts.request_id,
            target=record.id,
            status=exchange.facts.status,
            use=exchange.use,
            via=exchange.via,
            not_run=exchange.facts.not_run,
        )
        if exchange.via:
            log_event(
                "attempt.relayed",
                request=call.facts.request_id,
                target=record.id,
                via=exchange.via,
            )
        if not _belongs_to(exchange, call):
            self._report_foreign(call, record, exchange)
            await exchange.reject()
            detail = "the answer belongs to another request"
            return Error(fault(ResultCode.MALFORMED_ANSWER, detail))
        self._note_rate_limit(record, exchange.facts, now)
        self._note_rest(record, exchange.facts)
        self._note_leaving(record, exchange.facts)
        if exchange.facts.not_run:
            call.may_have_run = may_have_run_before
            if not ran_there_before:
                call.ran_at.discard(record.id)
            return Error(await self._handle_refusal(call, record, exchange))
        if exchange.facts.encoded:
            await exchange.close(reusable=False)
            return Error(
                fault(ResultCode.MALFORMED_ANSWER, "the body has a content encoding")
            )
        return Ok(exchange)

    def _report_foreign(
        self, call: Call, record: TargetRecord, exchange: Exchange
    ) -> None:
        self.foreign_answers += 1
        log_event(
            "answer.foreign",
            request=call.facts.request_id,
            found=exchange.facts.request_id[:MAX_LOGGED_ID],
            target=record.id,
            status=exchange.facts.status,
            use=exchange.use,
            via=exchange.via,
        )

    def _stages(self, record: TargetRecord, path: Path) -> list[TargetRecord]:
        """Return the targets that a request reaches."""
        found = [self._view.directory.find(stage.target_id) for stage in path[1:]]
        return [record, *(stage for stage in found if stage is not None)]

    def _rest_fault(self, call: Call, record: TargetRecord) -> Fault:
        """Return the fault of an attempt whose target began to rest meanwhile."""
        if call.arrived:
            # The retry that was taken for this attempt is not sent.
            self._view.budget(call.service.name).give_back()
        left_s = self._view.rests.left_s(record, self._view.clock.now())
        log_event(
            "attempt.resting",
            request=call.facts.request_id,
            target=record.id,
            left_s=round(left_s, 2),
        )
        return fault(ResultCode.TARGETS_RESTING, "", left_s)

    def _limit_fault(self, call: Call, record: TargetRecord) -> Fault:
        if call.arrived:
            # The retry that was taken for this attempt is not sent.
            self._view.budget(call.service.name).give_back()
        log_event("attempt.limited", request=call.facts.request_id, target=record.id)
        problem = self._view.limit_fault(call.service.name)
        return problem or fault(ResultCode.TARGETS_LIMITED)

    async def report(
        self,
        record: TargetRecord,
        limit_s: float = REPORT_TIMEOUT_S,
        fresh: bool = False,
        has_token: bool = False,
    ) -> Result[TargetReport, Fault]:
        """Request a target's report.

        Parameters
        ----------
        fresh : bool
            Over a new connection, since open ones may have fallen silent.
        has_token : bool
            A token of the target's limit was taken for it already.
        """
        self.reports += 1
        outgoing = Outgoing("GET", REPORT_PATH.encode(), [_host(record)])
        answer = await self._short_call(record, outgoing, limit_s, fresh, has_token)
        if answer.is_error():
            return Error(answer.error)
        status = answer.ok.facts.status
        if status != 200:
            self._note_short_answer(record, answer.ok)
            return Error(fault(ResultCode.MALFORMED_ANSWER, f"status {status}"))
        report = decode_report(answer.ok.body)
        if report.is_ok():
            self._note_short_answer(record, answer.ok)
        return report

    async def order(
        self, record: TargetRecord, body: bytes
    ) -> Result[OrderAnswer, Fault]:
        """Send an order to a target, once; it may be executed even if unanswered."""
        headers = [_host(record), *order_headers(record.id)]
        headers.append((b"content-length", str(len(body)).encode()))
        outgoing = Outgoing("POST", ORDER_PATH.encode(), headers, body)
        answer = await self._short_call(
            record, outgoing, ORDER_TIMEOUT_S, fresh=True, reusable=False
        )
        if answer.is_ok():
            self._note_short_answer(record, answer.ok)
        result = answer.map(lambda item: OrderAnswer(item.facts.status, item.body))
        status = order_status(result)
        self.orders_by_status[status] = self.orders_by_status.get(status, 0) + 1
        return result

    async def _short_call(
        self,
        record: TargetRecord,
        outgoing: Outgoing,
        limit_s: float,
        fresh: bool = False,
        has_token: bool = False,
        reusable: bool = True,
    ) -> Result["_ShortAnswer", Fault]:
        """Send a report request or an order; return its whole answer.

        An answer with an id is one to a caller's request.  It proves no more than a
        broken connection does.

        Parameters
        ----------
        reusable : bool
            Whether the connection may be used for a report after the answer.
        """
        sent_at = self._view.clock.now()
        if not self._view.rests.allows_probe(record, sent_at):
            return Error(fault(ResultCode.TARGETS_RESTING))
        if not has_token and not self._view.limits.take([record], sent_at):
            return Error(fault(ResultCode.TARGETS_LIMITED))
        self._view.rests.take_probe(record, sent_at)
        with trio.move_on_after(limit_s):
            sent = await self._send(self._control_connections, record, outgoing, fresh)
            if sent.is_error():
                return _without_proof(sent.error)
            facts = sent.ok.facts
            body = await sent.ok.read()
            is_own = not facts.request_id
            await sent.ok.close(reusable and is_own and body.is_ok())
            if not is_own:
                detail = "the answer belongs to a request"
                return Error(fault(ResultCode.STREAM_BROKEN, detail))
            if body.is_error():
                return _without_proof(body.error)
            return Ok(_ShortAnswer(facts, body.ok, sent_at))
        return Error(fault(ResultCode.STREAM_SILENT, f"no answer within {limit_s} s"))

    def _note_short_answer(self, record: TargetRecord, answer: "_ShortAnswer") -> None:
        self._note_rate_limit(record, answer.facts, answer.sent_at, serves=False)
        self._note_rest(record, answer.facts, serves=False)
        self._note_leaving(record, answer.facts)

    async def _send(
        self,
        connections: TargetConnections,
        record: TargetRecord,
        outgoing: Outgoing,
        fresh: bool,
    ) -> Result[Exchange, Fault]:
        """Send to a target; what the HTTP library raises fails this attempt only."""
        with self._view.boundary.contain("target.send", record.id):
            return await connections.send(record.address, outgoing, fresh, record.id)
        return Error(fault(ResultCode.INTERNAL, "the attempt raised an exception"))

    def _note_rate_limit(
        self,
        record: TargetRecord,
        facts: AnswerFacts,
        sent_at: float,
        serves: bool = True,
    ) -> None:
        """Apply the limit that a target names in an answer.

        Parameters
        ----------
        serves : bool
            The answer is one to a caller's request, and not to a report or an order.
        """
        if facts.status == MISDIRECTED:
            return
        per_s = parse_rate_limit(facts.rate_limit)
        if per_s is None and facts.rate_limit:
            self._log_unreadable_limit(record, facts)
            return
        now = self._view.clock.now()
        if self._view.limits.note_answer(record, per_s, sent_at, now, not serves):
            log_event(
                "target.limit", target=record.id, per_s=per_s, status=facts.status
            )

    def _note_rest(
        self, record: TargetRecord, facts: AnswerFacts, serves: bool = True
    ) -> None:
        """Apply the rest that a target asks for as it refuses a request.

        Parameters
        ----------
        serves : bool
            The answer is one to a caller's request; only such an answer shows that a
            target takes requests again.
        """
        if facts.status == MISDIRECTED:
            return
        now = self._view.clock.now()
        if facts.status != UNAVAILABLE or not facts.rest_s:
            if serves and not facts.not_run:
                self._view.rests.note_accepted(record, now)
            return
        rest_s = parse_rest_s(facts.rest_s)
        event = "target.rests"
        if rest_s is None:
            event, rest_s = "target.rest_unreadable", UNREADABLE_REST_S
        if self._view.rests.begin(record, rest_s, now):
            named = facts.rest_s[:MAX_LOGGED_LIMIT]
            log_event(event, target=record.id, rest_s=rest_s, named=named)

    def _note_leaving(self, record: TargetRecord, facts: AnswerFacts) -> None:
        """Send a target nothing more once it says that it leaves.

        It may say so before the store does.  Other hosts learn it from the next status.
        An answer of another target at the same address says nothing about this one.
        """
        if not facts.leaves or facts.status == MISDIRECTED:
            return
        if self._view.directory.mark_leaving(record.incarnation):
            log_event(
                "target.says_leaving",
                target=record.id,
                status=facts.status,
                directory_version=self._view.directory.version,
            )

    def _log_unreadable_limit(self, record: TargetRecord, facts: AnswerFacts) -> None:
        if self._unreadable_by_id.get(record.id) != facts.rate_limit:
            self._unreadable_by_id[record.id] = facts.rate_limit
            named = facts.rate_limit[:MAX_LOGGED_LIMIT]
            log_event("target.limit_unreadable", target=record.id, named=named)

    def _handle_send_failure(
        self, call: Call, record: TargetRecord, problem: Fault
    ) -> None:
        now = self._view.clock.now()
        excluded_s = 0.0
        suspicious = self._view.target_links.suspicious(now)
        if problem.code is ResultCode.CONNECT_FAILED and not suspicious:
            excluded_s = self._view.directory.suspect(record.id, now)
        log_event(
            "attempt.failed",
            request=call.facts.request_id,
            target=record.id,
            code=int(problem.code),
            detail=problem.detail,
            left_out_s=round(excluded_s, 2),
            directory_version=self._view.directory.version,
        )

    async def _handle_refusal(
        self, call: Call, record: TargetRecord, exchange: Exchange
    ) -> Fault:
        facts = exchange.facts
        await exchange.read()
        await exchange.close(reusable=True)
        at_fault = record
        if facts.faulty_address:
            at_fault = self._view.directory.at_address(facts.faulty_address) or record
        if call.service.engine is not None and not self._view.rests.is_resting(
            at_fault, self._view.clock.now()
        ):
            self._exclude_target(at_fault, facts.status)
        log_event(
            "attempt.refused",
            request=call.facts.request_id,
            target=record.id,
            status=facts.status,
            rest_s=facts.rest_s[:MAX_LOGGED_LIMIT],
            leaves=facts.leaves,
            at_fault=at_fault.id,
            directory_version=self._view.directory.version,
        )
        detail = f"status {facts.status}"
        return Fault(ResultCode.TARGET_REFUSED, detail, None, None, at_fault.id)

    def _exclude_target(self, record: TargetRecord, status: int) -> None:
        """Exclude a stage of a path for a moment after it refused work.

        A full target refuses the next request as well, and each refusal counts as a
        retry.  A target that no longer holds its layers refuses requests until the
        target list shows it.
        """
        if status == MISDIRECTED:
            self._view.directory.suspect(record.id, self._view.clock.now())
        else:
            self._view.mark_full(record.id)


def _without_proof(problem: Fault) -> Result["_ShortAnswer", Fault]:
    """Return the fault of a report or order whose answer may be of another program."""
    if problem.code is ResultCode.MALFORMED_ANSWER:
        return Error(fault(ResultCode.STREAM_BROKEN, problem.detail))
    return Error(problem)


def _belongs_to(exchange: Exchange, call: Call) -> bool:
    """Return whether an answer is proved to be the one to a call.

    A refusal may lack the id where nothing else was sent over its connection.
    """
    facts = exchange.facts
    if facts.not_run and not facts.request_id:
        return exchange.use == 1
    return facts.request_id == call.facts.request_id


def order_status(answer: Result[OrderAnswer, Fault]) -> int:
    """Return the status of an order's answer; 0 where there was none."""
    return answer.ok.status if answer.is_ok() else 0


def final_fault(call: Call, problem: Fault, retry_s: float) -> Fault:
    """Return the fault that the caller of an abandoned request gets.

    Only if no target may have run the request does the fault guarantee this and give
    a retry time: with this guarantee, callers resend even a request that may not run
    twice.
    """
    if call.may_have_run:
        if problem.outcome is Outcome.NOT_RUN:
            return fault(ResultCode.RETRIES_EXHAUSTED, problem.detail)
        return problem
    if problem.outcome is Outcome.NOT_RUN and problem.retry_after_s is not None:
        return problem
    if problem.code in (ResultCode.UNKNOWN_ROUTE, ResultCode.UNAUTHORIZED):
        return problem
    return fault(ResultCode.NO_TARGET, problem.detail, retry_s)


def stale_config_fault(view: RouterView) -> Fault:
    """Return the refusal of a key that this host may be too outdated to know.

    If other hosts reach the store, one of them serves a caller that retries at once;
    if none does, an early retry would fail.
    """
    age_s = round(view.freshness.age_s(view.clock.now()), 2)
    detail = f"configuration confirmed {age_s} s ago"
    retry_s = OTHER_HOST_RETRY_S if view.sends_callers_away() else STORE_DOWN_RETRY_S
    return fault(ResultCode.PROFILES_UNKNOWN, detail, retry_s)


def _deadline_fault(call: Call) -> Fault:
    if call.may_have_run:
        return fault(ResultCode.DEADLINE_PASSED)
    return fault(ResultCode.EXPIRED_IN_QUEUE, "", MAX_REFUSAL_S)


def _host(record: TargetRecord) -> tuple[bytes, bytes]:
    return (b"host", record.address.encode())
