"""What each result code means, and what to do about it.

The command ``radishfield codes`` prints these; docs/RESULT-CODES.md holds the
same table, and a test keeps the two alike.
"""

from dataclasses import dataclass

from radishfield.core._codes import ResultCode


@dataclass(slots=True, frozen=True)
class CodeHelp:
    """A code's meaning and advice, a sentence each."""

    meaning: str
    advice: str


_SAME_KEY = "Repeat with the same idempotency key and body; it will not run twice."
_COME_BACK = "Come back after the time in retry-after."
_ASK_FIRST = "It may have run: check before repeating, or repeat with its key."
_FIX_FILE = "Change the file as the line says; `radishfield settings check` helps."

HELP_BY_CODE = {
    ResultCode.FINISHED: CodeHelp("The request finished.", "Nothing."),
    ResultCode.REPLAYED: CodeHelp(
        "A repeat got the answer of the first run, which was not run again.",
        "Nothing.",
    ),
    ResultCode.MALFORMED_BODY: CodeHelp(
        "The body is not JSON, or a field has a wrong type or range.",
        "Correct the field that the message names.",
    ),
    ResultCode.BODY_TOO_LARGE: CodeHelp(
        "The body is larger than [caller] max_body.", "Send less at a time."
    ),
    ResultCode.UNKNOWN_PROFILE: CodeHelp(
        "No profile of this name is in force.",
        "Look at GET /v1/models, or have it published.",
    ),
    ResultCode.BAD_HEADER: CodeHelp(
        "A header is out of its limits, or was sent twice.",
        "Correct the header that the message names.",
    ),
    ResultCode.BODY_TOO_SLOW: CodeHelp(
        "The body did not arrive within [caller] body_timeout.",
        "Send again; look at the network if it comes back.",
    ),
    ResultCode.UNSUPPORTED_FIELD: CodeHelp(
        "The body has a field that would change the answer and is not supported.",
        "Leave out the field that the message names.",
    ),
    ResultCode.IDEMPOTENCY_KEY_REUSED: CodeHelp(
        "The idempotency key was used with another body.",
        "Take a new key for each new request.",
    ),
    ResultCode.PROFILE_RETIRED: CodeHelp(
        "The profile was retired and stays so.", "Move to another profile."
    ),
    ResultCode.UNKNOWN_ROUTE: CodeHelp(
        "No such path, or a path that a service could misread.", "Correct the path."
    ),
    ResultCode.METHOD_NOT_ALLOWED: CodeHelp(
        "The path does not take this method.", "Use one that the allow header names."
    ),
    ResultCode.WRONG_TARGET_KIND: CodeHelp(
        "A model route was used for a plain service, or the other way round.",
        "Use the route of the profile's kind.",
    ),
    ResultCode.IDEMPOTENCY_KEY_MISSING: CodeHelp(
        "The profile's work may not be repeated and asks for a key.",
        "Send an idempotency-key header.",
    ),
    ResultCode.DEADLINE_UNREACHABLE: CodeHelp(
        "The request could not have finished in time, so it was not taken.",
        _COME_BACK + " Where it lasts, add targets or allow more time.",
    ),
    ResultCode.QUEUE_FULL: CodeHelp(
        "As many requests wait as may wait.",
        _COME_BACK + " Where it lasts, add targets.",
    ),
    ResultCode.WORKSPACE_OVER_SHARE: CodeHelp(
        "The workspace has more work waiting than its share while others wait too.",
        _COME_BACK + " Spread the work over time.",
    ),
    ResultCode.NO_TARGET: CodeHelp(
        "No live targets cover the whole model, or no service is live.",
        "Look at `radishfield status`: a range of layers has no live target.",
    ),
    ResultCode.DRAINING: CodeHelp(
        "This host is leaving and takes no new requests.",
        _COME_BACK + " The balancer chooses another host.",
    ),
    ResultCode.PROFILES_UNKNOWN: CodeHelp(
        "The host has started and could not learn the profiles yet.",
        _COME_BACK + " Where it lasts, platform and peers are out of reach.",
    ),
    ResultCode.EXPIRED_IN_QUEUE: CodeHelp(
        "The deadline came while the request waited.",
        "Allow more time or add targets; nothing ran.",
    ),
    ResultCode.CLAIM_UNAVAILABLE: CodeHelp(
        "The idempotency key could not be claimed: this copy did not run, an earlier "
        "one may have.",
        _COME_BACK + " " + _SAME_KEY,
    ),
    ResultCode.CANCELLED_BEFORE_START: CodeHelp(
        "The caller closed its connection before anything ran.", "Nothing."
    ),
    ResultCode.DUPLICATE_IN_FLIGHT: CodeHelp(
        "The first request with this key still runs.", _COME_BACK + " " + _SAME_KEY
    ),
    ResultCode.DUPLICATE_UNKNOWN: CodeHelp(
        "A request with this key may have run and its answer is not kept.",
        "Check whether it took effect; take a new key only to run it again.",
    ),
    ResultCode.TOO_MANY_CONNECTIONS: CodeHelp(
        "The host has [caller] max_in_flight requests in flight.",
        _COME_BACK + " Where it lasts, add entry hosts.",
    ),
    ResultCode.TARGET_REFUSED: CodeHelp(
        "A target refused the work before it started.",
        "Look at the target: it is full or leaving.",
    ),
    ResultCode.CONNECT_FAILED: CodeHelp(
        "No connection to the target could be made; nothing was sent.",
        "Look at the target and the path to it.",
    ),
    ResultCode.STREAM_BROKEN: CodeHelp(
        "The connection to a target broke after work was handed over.", _ASK_FIRST
    ),
    ResultCode.STREAM_SILENT: CodeHelp(
        "A target sent nothing for longer than expected.", _ASK_FIRST
    ),
    ResultCode.BAD_RECEIPT: CodeHelp(
        "A token came back without proof that every layer ran once, in order.",
        _ASK_FIRST + " Report the target: its engine skips or repeats work.",
    ),
    ResultCode.STAGE_FAILED: CodeHelp(
        "A stage of the route failed and could not be replaced.", _ASK_FIRST
    ),
    ResultCode.RETRY_BUDGET_SPENT: CodeHelp(
        "A retry was due, but retries already take their share of all work.",
        _ASK_FIRST + " Look for what fails so often.",
    ),
    ResultCode.DEADLINE_PASSED: CodeHelp(
        "The deadline came while the request ran; its work was cancelled.", _ASK_FIRST
    ),
    ResultCode.CANCELLED: CodeHelp(
        "The caller closed its connection while the request ran.", _ASK_FIRST
    ),
    ResultCode.MALFORMED_ANSWER: CodeHelp(
        "A target's answer does not follow its protocol.",
        _ASK_FIRST + " Report the target.",
    ),
    ResultCode.ANSWER_TRUNCATED: CodeHelp(
        "A target's answer ended before its end.", _ASK_FIRST
    ),
    ResultCode.TARGET_ERROR: CodeHelp(
        "A target reported an error of its own.", _ASK_FIRST
    ),
    ResultCode.ANSWER_TOO_LARGE: CodeHelp(
        "A target's answer is larger than what may be passed on.", _ASK_FIRST
    ),
    ResultCode.RETRIES_EXHAUSTED: CodeHelp(
        "Every attempt failed that the request may have.",
        _ASK_FIRST + " `radishfield explain` shows each attempt.",
    ),
    ResultCode.CRASHES_TARGETS: CodeHelp(
        "Targets ended under this request; it is sent to no further one.",
        "Change the request; `request.refused` in the log names the targets.",
    ),
    ResultCode.PLATFORM_UNAVAILABLE: CodeHelp(
        "The platform's object API does not answer.",
        "Try again; traffic goes on without it.",
    ),
    ResultCode.PLATFORM_CONFLICT: CodeHelp(
        "Another write won; nothing was changed.", "Read again, then decide."
    ),
    ResultCode.PLATFORM_AMBIGUOUS: CodeHelp(
        "The platform's answer was lost; the write may have taken effect.",
        "Read back before writing again.",
    ),
    ResultCode.PLATFORM_RATE_LIMITED: CodeHelp(
        "The platform or this host's own budget allows no further call now.",
        _COME_BACK,
    ),
    ResultCode.VALUE_TOO_LARGE: CodeHelp(
        "The value is larger than the platform holds.", "Make it smaller."
    ),
    ResultCode.OBJECT_NOT_FOUND: CodeHelp(
        "There is no such object or record.",
        "Check the name; a request is known to the host that served it.",
    ),
    ResultCode.PLATFORM_MALFORMED: CodeHelp(
        "The platform's answer could not be read.", "Report it."
    ),
    ResultCode.WATCH_GAP: CodeHelp(
        "Changes were missed; the host lists again by itself.", "Nothing."
    ),
    ResultCode.BAD_FRAME: CodeHelp(
        "A message between entry hosts could not be read and was dropped.",
        "Look for another program on the peers' port.",
    ),
    ResultCode.FRAME_TOO_LARGE: CodeHelp(
        "A message between entry hosts was over its limit.", "Report it."
    ),
    ResultCode.SCHEMA_VERSION: CodeHelp(
        "An entry host speaks another version of the protocol.",
        "Finish the upgrade of all entry hosts.",
    ),
    ResultCode.PEER_UNAUTHENTICATED: CodeHelp(
        "A message between entry hosts carried no key that is known here.",
        "Give all hosts the same [peers] keys, the new one first.",
    ),
    ResultCode.PEER_STALE: CodeHelp(
        "A message was of an earlier run of its host, or repeated.", "Nothing."
    ),
    ResultCode.PEER_UNREACHABLE: CodeHelp(
        "An entry host does not answer; it may have handled the question.",
        "Look at the host and the path to it.",
    ),
    ResultCode.SETTING_UNKNOWN: CodeHelp(
        "A section or key is not known: most often a slip of the pen.", _FIX_FILE
    ),
    ResultCode.SETTING_RANGE: CodeHelp("A value is out of its range.", _FIX_FILE),
    ResultCode.SETTING_FILE_MISSING: CodeHelp(
        "A file cannot be read.", "Check the path and its permissions."
    ),
    ResultCode.SETTING_TYPE: CodeHelp(
        "A value is of the wrong kind, or has no unit or a wrong one.", _FIX_FILE
    ),
    ResultCode.UNAUTHORIZED: CodeHelp(
        "The operators' token is missing or wrong.",
        "Give the token of [operator] with --token-file.",
    ),
    ResultCode.CHANGE_CONFLICT: CodeHelp(
        "Another operator's change won; yours changed nothing.",
        "Show the object, then decide again.",
    ),
    ResultCode.LEASE_NOT_HELD: CodeHelp(
        "The host does not hold the lease for this duty.",
        "Nothing; its holder does the work.",
    ),
    ResultCode.ORDER_FENCED: CodeHelp(
        "A target refused an order that carries an old fencing number.",
        "Nothing; a newer holder gives the orders.",
    ),
    ResultCode.LAST_REPLICA: CodeHelp(
        "The order would take the last live replica of a range of layers.",
        "Add another target for the range first.",
    ),
    ResultCode.CHANGE_AMBIGUOUS: CodeHelp(
        "It could not be learnt whether the change took effect.",
        "Show the object before trying again.",
    ),
    ResultCode.CHANGE_INVALID: CodeHelp(
        "A field of the change is wrong.", "Correct the field that the message names."
    ),
    ResultCode.ORDER_LATE: CodeHelp(
        "The order reached its target after its deadline and was not started.",
        "Nothing; it is given again if it is still wanted.",
    ),
    ResultCode.SETTING_MISSING: CodeHelp(
        "A key is needed by another one that is set.", _FIX_FILE
    ),
    ResultCode.INTERNAL: CodeHelp(
        "A defect of radishfield.", "Report it with the log line request.defect."
    ),
}
