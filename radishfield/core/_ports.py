"""The narrow interfaces behind which the outside world stands.

A fake of a port is a few dozen lines; another engine protocol is one module
that implements `TargetPort`.  Failures come back as `Fault` values inside
``Result``; only cancellation passes through as an exception.
"""

from collections.abc import Awaitable, Callable, Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol

from expression import Result

from radishfield.core._data import (
    CacheEvent,
    Finished,
    Host,
    KvState,
    LoadReport,
    Member,
    Profile,
    Request,
    ServiceAnswer,
    ServiceRequest,
    StreamStart,
    Target,
    Token,
)
from radishfield.core._errors import Fault


class TokenSink(Protocol):
    """Where committed tokens leave towards the caller."""

    async def push(self, token: Token) -> None:
        """Pass one committed token on; raise nothing but cancellation."""


class TokenStream(Protocol):
    """The tokens of one attempt as a target sends them."""

    async def next_tokens(self) -> Result[Sequence[Token], Fault]:
        """Return every token that is ready now, at least one, in order.

        Tokens that arrived together are decoded and passed on together.  A
        fault that follows good tokens is returned by the next call.  After a
        token with ``finish`` set, the stream is not read again.
        """


@dataclass(slots=True, frozen=True)
class TargetOrder:
    """An order to change what a target holds or does.

    Attributes
    ----------
    kind : str
        ``load-layers``, ``load-adapter``, ``load-version`` or ``set-role``.
    fencing : int
        Number of the lease under which the order is given.
    timeout_s : float
        Seconds from sending after which the target must not start the order.
    """

    kind: str
    argument: str
    fencing: int
    timeout_s: float
    layers: tuple[int, int] = (0, 0)


class TargetPort(Protocol):
    """What radishfield asks of a target; one implementation a protocol."""

    def open_stream(
        self, target: Target, start: StreamStart
    ) -> AbstractAsyncContextManager[Result[TokenStream, Fault]]:
        """Start an attempt at the route's first stage.

        A fault with outcome ``NOT_RUN`` proves that no byte was handed to the
        target or that it refused before it started.
        """

    def reopen_stream(
        self, target: Target, request_id: str, attempt: int, position: int
    ) -> AbstractAsyncContextManager[Result[TokenStream, Fault]]:
        """Attach again, on a new connection, to an attempt that still runs.

        Nothing is started: the first stage sends the attempt's tokens from
        ``position`` on, or refuses with ``TARGET_REFUSED`` if it has no such
        attempt.  It answers connections that went silent, and it is safe for
        requests that may not run twice.  A target that neither answers nor
        refuses in time is ``STREAM_SILENT``: the attempt may still run.
        """

    async def cancel(
        self, target: Target, request_id: str, attempt: int
    ) -> Result[None, Fault]:
        """Ask a target to forget a request's attempts up to this one.

        A cancel may arrive late; without the attempt's number it would end a
        newer attempt that has come back to the same target.
        """

    async def call(
        self, target: Target, request: ServiceRequest
    ) -> Result[ServiceAnswer, Fault]:
        """Call a plain service and return its whole answer."""

    async def load(self, target: Target) -> Result[LoadReport, Fault]:
        """Return the target's load report."""

    async def cache_events(
        self, target: Target, after: int
    ) -> Result[Sequence[CacheEvent], Fault]:
        """Return cache events with a sequence above ``after``; gaps happen."""

    async def order(self, target: Target, order: TargetOrder) -> Result[None, Fault]:
        """Give an order; a fenced order is refused with ``ORDER_FENCED``."""

    async def export_kv(
        self, target: Target, request_id: str
    ) -> Result[KvState, Fault]:
        """Read a request's KV cache from a target that is still alive."""

    async def import_kv(self, target: Target, state: KvState) -> Result[None, Fault]:
        """Hand a request's KV cache to a target before an attempt starts."""


@dataclass(slots=True, frozen=True)
class StoredObject:
    """An object of the platform's API; ``version`` 0 stands for absent."""

    kind: str
    name: str
    version: int
    value: bytes


@dataclass(slots=True, frozen=True)
class StoredListing:
    """All objects of a kind at one revision of the store."""

    revision: int
    objects: tuple[StoredObject, ...]


@dataclass(slots=True, frozen=True)
class WatchBatch:
    """Changes after a revision; empty after a quiet wait."""

    revision: int
    objects: tuple[StoredObject, ...]


@dataclass(slots=True, frozen=True)
class HostListing:
    """The platform's lagging list of live and leaving hosts."""

    hosts: tuple[Host, ...]


class PlatformPort(Protocol):
    """The platform's object API.  Each call is counted by the platform."""

    async def read(self, kind: str, name: str) -> Result[StoredObject, Fault]:
        """Return an object, or ``OBJECT_NOT_FOUND``."""

    async def write(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> Result[StoredObject, Fault]:
        """Write if the stored version is the expected one (0: must be absent).

        ``PLATFORM_CONFLICT``: another write won, nothing changed.
        ``PLATFORM_AMBIGUOUS``: the answer was lost; read back to settle it.
        """

    async def list(self, kind: str) -> Result[StoredListing, Fault]:
        """Return all objects of a kind."""

    async def watch(
        self, kind: str, after: int, timeout_s: float
    ) -> Result[WatchBatch, Fault]:
        """Wait for changes after a revision; events may be skipped."""

    async def hosts(self) -> Result[HostListing, Fault]:
        """Return the list of live and leaving hosts."""


class ProfileSource(Protocol):
    """Where the caller edge looks profiles up."""

    def find(self, name: str) -> Result[Profile, Fault]:
        """Return the profile in force, or why there is none."""

    def names(self) -> Sequence[str]:
        """Return the names of the profiles in force."""


class Serving(Protocol):
    """What the caller edge asks for: the way of a request through the system."""

    async def generate(
        self, request: Request, sink: TokenSink
    ) -> Result[Finished, Fault]:
        """Run a model request; committed tokens go to the sink in order.

        A fault's ``outcome`` is what the caller may be told.  Cancelling the
        call cancels the request's work at its targets.
        """

    async def call_service(
        self, request: ServiceRequest
    ) -> Result[ServiceAnswer, Fault]:
        """Run a plain call."""


PeerHandler = Callable[[str, bytes], Awaitable[Result[bytes, Fault]]]


class PeerPort(Protocol):
    """Messages between entry hosts; payloads are Cap'n Proto, one schema a topic."""

    def members(self) -> Sequence[Member]:
        """Return every known entry host, this one included, with its state."""

    async def ask(
        self, member_id: str, topic: str, payload: bytes, timeout_s: float
    ) -> Result[bytes, Fault]:
        """Send one question and return its answer, or ``PEER_UNREACHABLE``.

        After ``PEER_UNREACHABLE`` the question may or may not have been
        handled; a handler has to bear being asked twice.
        """

    def answer(self, topic: str, handler: PeerHandler) -> None:
        """Register the coroutine that answers a topic's questions.

        It gets the asking member's id and the payload.
        """
