"""Messages of the engine's HTTP protocol, in addition to those in core.

Both the client of targets and the engine stand-in import these, so that neither
duplicates a path or a field.
"""

from dataclasses import dataclass

from radishfield.core import CacheEvent, Hop, Route

STREAMS_PATH = "/engine/v1/streams"
REOPEN_PATH = "/engine/v1/streams/reopen"
CANCEL_PATH = "/engine/v1/cancel"
LOAD_PATH = "/engine/v1/load"
EVENTS_PATH = "/engine/v1/cache-events"
ORDERS_PATH = "/engine/v1/orders"
KV_PATH = "/engine/v1/kv"
STEP_PATH = "/engine/v1/step"

# An engine sets this header when it refuses a request before it starts.  A refusal
# without it proves nothing, because it may come from an intermediary.
NOT_STARTED_HEADER = b"x-not-started"

# The engine copies this header of the request into its answer.  Bytes left over
# from an earlier answer on a pooled connection parse as a valid answer to the
# next request, but they carry the earlier number and are rejected.
EXCHANGE_HEADER = b"x-exchange"


@dataclass(slots=True, frozen=True)
class ErrorLine:
    """The last line of a stream that failed.

    Attributes
    ----------
    error_code : int
        A `ResultCode` number.
    target_id : str
        The stage at fault; empty if it is not known.
    """

    error_code: int
    detail: str = ""
    target_id: str = ""


@dataclass(slots=True, frozen=True)
class Refusal:
    """Body of an answer that refuses a request or an order."""

    error_code: int
    detail: str = ""
    retry_after_s: float | None = None
    target_id: str = ""


@dataclass(slots=True, frozen=True)
class Reopen:
    """Request for an attempt's tokens from a position on."""

    request_id: str
    attempt: int
    position: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Request to cancel and forget a request's attempts up to this one."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class CacheEvents:
    """Cache events above the requested sequence number."""

    events: tuple[CacheEvent, ...]


@dataclass(slots=True, frozen=True)
class OrderDone:
    """Confirmation that an order was carried out under this fencing number."""

    fencing: int


@dataclass(slots=True, frozen=True)
class Step:
    """One token's step as it is passed from stage to stage.

    Attributes
    ----------
    index : int
        The stage of the route that is to run next.
    hidden : str
        Output of the layers so far; its format is the engine's own.
    prefix_tokens : int
        Tokens before this one in the attempt's first step, in which a stage has
        to build its cache; 0 in all later steps.
    hand_on : bool
        Whether a stage calls its successor itself; otherwise each stage is
        called by the entry host.
    """

    request_id: str
    attempt: int
    position: int
    index: int
    route: Route
    hidden: str
    hops: tuple[Hop, ...] = ()
    is_first: bool = False
    is_last: bool = False
    prefix_tokens: int = 0
    prompt: str = ""
    priority: int = 2
    hand_on: bool = True
