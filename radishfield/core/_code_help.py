"""Explains each result code, with advice on how to resolve it.

The command ``radishfield codes`` prints these texts; docs/RESULT-CODES.md holds
the same table, and a test checks that the two are equal.
"""

from dataclasses import dataclass

from radishfield.core._codes import ResultCode


@dataclass(slots=True, frozen=True)
class CodeHelp:
    """The meaning of a code, and advice on it."""

    meaning: str
    advice: str


_RETRY_SAME_KEY = "Retry with the same idempotency key and body; it will not run twice."
_RETRY_LATER = "Retry after the time in the retry-after header."
_CHECK_FIRST = (
    "The request may have run: check before retrying, or retry with its "
    "idempotency key."
)
_CORRECT_FILE = (
    "Correct the file as the message says; `radishfield settings check` checks it."
)

HELP_BY_CODE = {
    ResultCode.FINISHED: CodeHelp("The request finished.", "Nothing."),
    ResultCode.REPLAYED: CodeHelp(
        "A retry got the first run's answer; the request did not run again.",
        "Nothing.",
    ),
    ResultCode.MALFORMED_BODY: CodeHelp(
        "The body is not JSON, or a field has a wrong type or range.",
        "Correct the field that the message names.",
    ),
    ResultCode.BODY_TOO_LARGE: CodeHelp(
        "The body is larger than [caller] max_body.", "Send a smaller body."
    ),
    ResultCode.UNKNOWN_PROFILE: CodeHelp(
        "No profile of this name is active.",
        "List the profiles with GET /v1/models, or have this one published.",
    ),
    ResultCode.BAD_HEADER: CodeHelp(
        "A header exceeds its limits, or was sent twice.",
        "Correct the header that the message names.",
    ),
    ResultCode.BODY_TOO_SLOW: CodeHelp(
        "The body did not arrive within [caller] body_timeout.",
        "Send the request again; check the network if the error persists.",
    ),
    ResultCode.UNSUPPORTED_FIELD: CodeHelp(
        "The body has a field that would change the answer and is not supported.",
        "Leave out the field that the message names.",
    ),
    ResultCode.IDEMPOTENCY_KEY_REUSED: CodeHelp(
        "The idempotency key was used with another body.",
        "Use a new key for each new request.",
    ),
    ResultCode.PROFILE_RETIRED: CodeHelp(
        "The profile was retired permanently.", "Use another profile."
    ),
    ResultCode.UNKNOWN_ROUTE: CodeHelp(
        "The path does not exist, or a service could misread it.", "Correct the path."
    ),
    ResultCode.METHOD_NOT_ALLOWED: CodeHelp(
        "The path does not accept this method.",
        "Use a method that the allow header names.",
    ),
    ResultCode.WRONG_TARGET_KIND: CodeHelp(
        "A model route was used for a plain service, or a service route for a model.",
        "Use the route of the profile's kind.",
    ),
    ResultCode.IDEMPOTENCY_KEY_MISSING: CodeHelp(
        "The profile's requests must not run twice and need an idempotency key.",
        "Send an idempotency-key header.",
    ),
    ResultCode.DEADLINE_UNREACHABLE: CodeHelp(
        "The request could not have met its deadline, so it was not accepted.",
        _RETRY_LATER + " If the error persists, add targets or allow more time.",
    ),
    ResultCode.QUEUE_FULL: CodeHelp(
        "The queue of waiting requests is full.",
        _RETRY_LATER + " If the error persists, add targets.",
    ),
    ResultCode.WORKSPACE_OVER_SHARE: CodeHelp(
        "The workspace has more work queued than its share while others wait too.",
        _RETRY_LATER + " Spread the work over time.",
    ),
    ResultCode.NO_TARGET: CodeHelp(
        "No live targets cover the complete model, or no service is live.",
        "Check `radishfield status`: a range of layers has no live target.",
    ),
    ResultCode.DRAINING: CodeHelp(
        "This host is leaving and accepts no new requests.",
        _RETRY_LATER + " The load balancer selects another host.",
    ),
    ResultCode.PROFILES_UNKNOWN: CodeHelp(
        "The host has started and could not obtain the profiles yet.",
        _RETRY_LATER
        + " If the error persists, the platform and the peers are unreachable.",
    ),
    ResultCode.EXPIRED_IN_QUEUE: CodeHelp(
        "The deadline passed while the request was queued.",
        "Allow more time or add targets; nothing ran.",
    ),
    ResultCode.CLAIM_UNAVAILABLE: CodeHelp(
        "The idempotency key could not be claimed: this request did not run, but an "
        "earlier one with the same key may have.",
        _RETRY_LATER + " " + _RETRY_SAME_KEY,
    ),
    ResultCode.CANCELLED_BEFORE_START: CodeHelp(
        "The caller closed its connection before anything ran.", "Nothing."
    ),
    ResultCode.DUPLICATE_IN_FLIGHT: CodeHelp(
        "The first request with this key is still running.",
        _RETRY_LATER + " " + _RETRY_SAME_KEY,
    ),
    ResultCode.DUPLICATE_UNKNOWN: CodeHelp(
        "A request with this key may have run, and its answer is not stored.",
        "Check whether it took effect; use a new key only to run it again.",
    ),
    ResultCode.TOO_MANY_CONNECTIONS: CodeHelp(
        "The host has [caller] max_in_flight requests in flight.",
        _RETRY_LATER + " If the error persists, add entry hosts.",
    ),
    ResultCode.TARGETS_LIMITED: CodeHelp(
        "The targets that could serve it name a rate limit, which is used up.",
        _RETRY_LATER + " If the error persists, relieve the targets or add some.",
    ),
    ResultCode.HOST_SATURATED: CodeHelp(
        "This host and most others of its zone are short of processor time.",
        _RETRY_LATER + " If the error persists, add hosts to the zone.",
    ),
    ResultCode.TARGETS_RESTING: CodeHelp(
        "The targets that could serve it have asked this host for a rest.",
        _RETRY_LATER + " If the error persists, relieve the targets or add some.",
    ),
    ResultCode.NO_ROOM_FOR_BODY: CodeHelp(
        "The bodies of other callers take all memory that this host has for them.",
        _RETRY_LATER + " If the error persists, add hosts or memory.",
    ),
    ResultCode.TARGET_REFUSED: CodeHelp(
        "A target refused the work before it started.",
        "Check the target: it is full or leaving.",
    ),
    ResultCode.CONNECT_FAILED: CodeHelp(
        "No connection to the target could be made; nothing was sent.",
        "Check the target and the network path to it.",
    ),
    ResultCode.STREAM_BROKEN: CodeHelp(
        "The connection to a target broke after work was sent to it.", _CHECK_FIRST
    ),
    ResultCode.STREAM_SILENT: CodeHelp(
        "A target sent nothing for longer than expected.", _CHECK_FIRST
    ),
    ResultCode.BAD_RECEIPT: CodeHelp(
        "A token arrived without proof that every layer ran once, in order.",
        _CHECK_FIRST + " Report the target: its engine skips or repeats work.",
    ),
    ResultCode.STAGE_FAILED: CodeHelp(
        "A stage of the route failed and could not be replaced.", _CHECK_FIRST
    ),
    ResultCode.RETRY_BUDGET_SPENT: CodeHelp(
        "A retry was needed, but retries have used up their share of all work.",
        _CHECK_FIRST + " Find the cause of the frequent failures.",
    ),
    ResultCode.DEADLINE_PASSED: CodeHelp(
        "The deadline passed while the request ran; its work was cancelled.",
        _CHECK_FIRST,
    ),
    ResultCode.CANCELLED: CodeHelp(
        "The caller closed its connection while the request ran.", _CHECK_FIRST
    ),
    ResultCode.MALFORMED_ANSWER: CodeHelp(
        "A target's answer does not follow its protocol.",
        _CHECK_FIRST + " Report the target.",
    ),
    ResultCode.ANSWER_TRUNCATED: CodeHelp(
        "A target's answer was truncated.", _CHECK_FIRST
    ),
    ResultCode.TARGET_ERROR: CodeHelp(
        "A target reported an error of its own.", _CHECK_FIRST
    ),
    ResultCode.ANSWER_TOO_LARGE: CodeHelp(
        "A target's answer is larger than the limit for forwarding.", _CHECK_FIRST
    ),
    ResultCode.RETRIES_EXHAUSTED: CodeHelp(
        "All attempts that the request is allowed have failed.",
        _CHECK_FIRST + " `radishfield explain` shows each attempt.",
    ),
    ResultCode.CRASHES_TARGETS: CodeHelp(
        "Targets crashed while running this request, or others with the same part of"
        " the prompt; it is sent to no other target.",
        "Change the request; `request.refused` in the log names the part and the"
        " targets.",
    ),
    ResultCode.PLATFORM_UNAVAILABLE: CodeHelp(
        "The platform's object API does not answer.",
        "Retry; traffic continues without it.",
    ),
    ResultCode.PLATFORM_CONFLICT: CodeHelp(
        "Another write won; nothing was changed.", "Read the object again, then decide."
    ),
    ResultCode.PLATFORM_AMBIGUOUS: CodeHelp(
        "The platform's answer was lost; the write may have taken effect.",
        "Read back before writing again.",
    ),
    ResultCode.PLATFORM_RATE_LIMITED: CodeHelp(
        "The platform or this host's own budget allows no further call now.",
        _RETRY_LATER,
    ),
    ResultCode.VALUE_TOO_LARGE: CodeHelp(
        "The value is larger than the platform can store.", "Make it smaller."
    ),
    ResultCode.OBJECT_NOT_FOUND: CodeHelp(
        "There is no such object or record.",
        "Check the name; a request is known to the host that served it.",
    ),
    ResultCode.PLATFORM_MALFORMED: CodeHelp(
        "The platform's answer could not be read.", "Report it."
    ),
    ResultCode.WATCH_GAP: CodeHelp(
        "A watch missed changes; the host lists all objects again by itself.",
        "Nothing.",
    ),
    ResultCode.STORE_ERA: CodeHelp(
        "An answer of the platform named an era of its store that is older than the"
        " newest one, or none that can be read.",
        "Check whether the platform came back from a copy.",
    ),
    ResultCode.BAD_FRAME: CodeHelp(
        "A message between entry hosts could not be read and was dropped.",
        "Check whether another program uses the peers' port.",
    ),
    ResultCode.FRAME_TOO_LARGE: CodeHelp(
        "A message between entry hosts exceeded the size limit.", "Report it."
    ),
    ResultCode.SCHEMA_VERSION: CodeHelp(
        "An entry host uses another version of the protocol.",
        "Finish the upgrade of all entry hosts.",
    ),
    ResultCode.PEER_UNAUTHENTICATED: CodeHelp(
        "A message between entry hosts carried no key that this host has.",
        "Give all hosts the same [peers] keys, the new one first.",
    ),
    ResultCode.PEER_STALE: CodeHelp(
        "A message was from an earlier run of its host, or was a duplicate.", "Nothing."
    ),
    ResultCode.PEER_UNREACHABLE: CodeHelp(
        "An entry host does not answer; it may have handled the request.",
        "Check the host and the network path to it.",
    ),
    ResultCode.SETTING_UNKNOWN: CodeHelp(
        "A section or key is not known, most often because of a typing error.",
        _CORRECT_FILE,
    ),
    ResultCode.SETTING_RANGE: CodeHelp("A value is out of its range.", _CORRECT_FILE),
    ResultCode.SETTING_FILE_MISSING: CodeHelp(
        "A file cannot be read.", "Check the path and its permissions."
    ),
    ResultCode.SETTING_TYPE: CodeHelp(
        "A value has the wrong type, or its unit is missing or wrong.", _CORRECT_FILE
    ),
    ResultCode.UNAUTHORIZED: CodeHelp(
        "The operators' token is missing or wrong.",
        "Pass a file that holds the [operator] token with --token-file.",
    ),
    ResultCode.CHANGE_CONFLICT: CodeHelp(
        "Another operator's change took effect first; yours changed nothing.",
        "Show the object, then decide again.",
    ),
    ResultCode.LEASE_NOT_HELD: CodeHelp(
        "The host does not hold the lease for this duty.",
        "Nothing; its holder does the work.",
    ),
    ResultCode.ORDER_FENCED: CodeHelp(
        "A target refused an order that carries an old fencing number.",
        "Nothing; a newer lease holder sends the orders.",
    ),
    ResultCode.LAST_REPLICA: CodeHelp(
        "The order would remove the last live replica of a range of layers.",
        "Add another target for the range first.",
    ),
    ResultCode.CHANGE_AMBIGUOUS: CodeHelp(
        "It could not be determined whether the change took effect.",
        "Show the object before trying again.",
    ),
    ResultCode.CHANGE_INVALID: CodeHelp(
        "A field of the change is wrong.", "Correct the field that the message names."
    ),
    ResultCode.ORDER_LATE: CodeHelp(
        "The order reached its target after its deadline and was not started.",
        "Nothing; it is sent again if it is still needed.",
    ),
    ResultCode.SETTING_MISSING: CodeHelp(
        "A required key, or one that another key depends on, is not set.", _CORRECT_FILE
    ),
    ResultCode.INTERNAL: CodeHelp(
        "A defect of radishfield.", "Report it with the log line request.defect."
    ),
}
