"""Defines the numbered result codes and the outcome that each one implies.

Callers, log lines and metrics receive the number.  The outcome is a guarantee:
a code with outcome ``NOT_RUN`` may be returned only where no byte of the request
reached a target, or the target reported that it refused the request before it
started.
"""

import enum


class Outcome(enum.StrEnum):
    """What the caller may assume about a request that has ended."""

    FINISHED = "finished"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ResultCode(enum.IntEnum):
    """Every way in which a request, an order or a message can end."""

    # 1xxx: the request finished.
    FINISHED = 1000
    REPLAYED = 1001

    # 2xxx: the caller's input was refused; nothing ran.
    MALFORMED_BODY = 2001
    BODY_TOO_LARGE = 2002
    UNKNOWN_PROFILE = 2003
    BAD_HEADER = 2004
    BODY_TOO_SLOW = 2005
    UNSUPPORTED_FIELD = 2006
    IDEMPOTENCY_KEY_REUSED = 2007
    PROFILE_RETIRED = 2008
    UNKNOWN_ROUTE = 2009
    METHOD_NOT_ALLOWED = 2010
    WRONG_TARGET_KIND = 2011
    IDEMPOTENCY_KEY_MISSING = 2012

    # 3xxx: the system refused under load or during a change; nothing ran.
    DEADLINE_UNREACHABLE = 3001
    QUEUE_FULL = 3002
    WORKSPACE_OVER_SHARE = 3003
    NO_TARGET = 3004
    DRAINING = 3005
    PROFILES_UNKNOWN = 3006
    EXPIRED_IN_QUEUE = 3007
    CLAIM_UNAVAILABLE = 3008
    CANCELLED_BEFORE_START = 3009
    DUPLICATE_IN_FLIGHT = 3010
    DUPLICATE_UNKNOWN = 3011
    TOO_MANY_CONNECTIONS = 3012
    TARGETS_LIMITED = 3013
    HOST_SATURATED = 3014
    TARGETS_RESTING = 3015
    NO_ROOM_FOR_BODY = 3016

    # 4xxx: a target or a path to it failed.
    TARGET_REFUSED = 4001
    CONNECT_FAILED = 4002
    STREAM_BROKEN = 4003
    STREAM_SILENT = 4004
    BAD_RECEIPT = 4005
    STAGE_FAILED = 4006
    RETRY_BUDGET_SPENT = 4007
    DEADLINE_PASSED = 4008
    CANCELLED = 4009
    MALFORMED_ANSWER = 4010
    ANSWER_TRUNCATED = 4011
    TARGET_ERROR = 4012
    ANSWER_TOO_LARGE = 4013
    RETRIES_EXHAUSTED = 4014
    CRASHES_TARGETS = 4015

    # 5xxx: the platform's object API.
    PLATFORM_UNAVAILABLE = 5001
    PLATFORM_CONFLICT = 5002
    PLATFORM_AMBIGUOUS = 5003
    PLATFORM_RATE_LIMITED = 5004
    VALUE_TOO_LARGE = 5005
    OBJECT_NOT_FOUND = 5006
    PLATFORM_MALFORMED = 5007
    WATCH_GAP = 5008
    STORE_ERA = 5009

    # 6xxx: messages between entry hosts.
    BAD_FRAME = 6001
    FRAME_TOO_LARGE = 6002
    SCHEMA_VERSION = 6003
    PEER_UNAUTHENTICATED = 6004
    PEER_STALE = 6005
    PEER_UNREACHABLE = 6006

    # 7xxx: operators, settings, leases and orders.
    SETTING_UNKNOWN = 7001
    SETTING_RANGE = 7002
    SETTING_FILE_MISSING = 7003
    SETTING_TYPE = 7004
    UNAUTHORIZED = 7005
    CHANGE_CONFLICT = 7006
    LEASE_NOT_HELD = 7007
    ORDER_FENCED = 7008
    LAST_REPLICA = 7009
    CHANGE_AMBIGUOUS = 7010
    CHANGE_INVALID = 7011
    ORDER_LATE = 7012
    SETTING_MISSING = 7013

    # 9xxx: a defect of radishfield itself.
    INTERNAL = 9001


_UNKNOWN_CODES = frozenset(
    {
        # This request did not run, but an earlier one with the same key may have.
        ResultCode.CLAIM_UNAVAILABLE,
        ResultCode.DUPLICATE_IN_FLIGHT,
        ResultCode.DUPLICATE_UNKNOWN,
        ResultCode.STREAM_BROKEN,
        ResultCode.STREAM_SILENT,
        ResultCode.BAD_RECEIPT,
        ResultCode.STAGE_FAILED,
        ResultCode.RETRY_BUDGET_SPENT,
        ResultCode.DEADLINE_PASSED,
        ResultCode.CANCELLED,
        ResultCode.MALFORMED_ANSWER,
        ResultCode.ANSWER_TRUNCATED,
        ResultCode.TARGET_ERROR,
        ResultCode.ANSWER_TOO_LARGE,
        ResultCode.RETRIES_EXHAUSTED,
        ResultCode.CRASHES_TARGETS,
        ResultCode.PLATFORM_AMBIGUOUS,
        ResultCode.CHANGE_AMBIGUOUS,
        ResultCode.INTERNAL,
    }
)
_FINISHED_CODES = frozenset({ResultCode.FINISHED, ResultCode.REPLAYED})


def _outcome(code: ResultCode) -> Outcome:
    if code in _FINISHED_CODES:
        return Outcome.FINISHED
    if code in _UNKNOWN_CODES:
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN


OUTCOME_BY_CODE = {code: _outcome(code) for code in ResultCode}

REFUSAL_CODES = (
    *(code for code in ResultCode if 2000 < code < 4000),
    ResultCode.CRASHES_TARGETS,
)
"""Codes with which the system itself refuses to send a request to targets."""
