"""Defines the interfaces to everything outside the process.

The interfaces are narrow: a fake of a port takes a few dozen lines, and another
engine protocol is one module that implements `TargetPort`.  Failures are returned
as `Fault` values inside ``Result``; only cancellation is raised as an exception.
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
    """Receives committed tokens for the caller."""

    async def push(self, token: Token) -> None:
        """Forward one committed token; raise nothing but cancellation."""


class TokenStream(Protocol):
    """The tokens of one attempt as a target sends them."""

    async def next_tokens(self) -> Result[Sequence[Token], Fault]:
        """Return every token that is ready now, at least one, in order.

        Tokens that arrived together are decoded and forwarded together.  A
        fault that follows good tokens is returned by the next call.  After a
        token with ``finish`` set, the stream is not read again.
        """


@dataclass(slots=True, frozen=True)
class TargetOrder:
    """An order to change a target's layers, adapter, version or role.

    Attributes
    ----------
    kind : str
        ``load-layers``, ``load-adapter``, ``load-version`` or ``set-role``.
    fencing : int
        Fencing number of the lease under which the order is sent.
    timeout_s : float
        Seconds from sending after which the target must not start the order.
    """

    kind: str
    argument: str
    fencing: int
    timeout_s: float
    layers: tuple[int, int] = (0, 0)


class TargetPort(Protocol):
    """Operations on a target, with one implementation for each protocol."""

    def open_stream(
        self, target: Target, start: StreamStart
    ) -> AbstractAsyncContextManager[Result[TokenStream, Fault]]:
        """Start an attempt at the route's first stage.

        A fault with outcome ``NOT_RUN`` proves that no byte was sent to the
        target or that it refused before it started.
        """

    def reopen_stream(
        self, target: Target, request_id: str, attempt: int, position: int
    ) -> AbstractAsyncContextManager[Result[TokenStream, Fault]]:
        """Reattach, on a new connection, to an attempt that is still running.

        Nothing is started: the first stage sends the attempt's tokens from
        ``position`` on, or refuses with ``TARGET_REFUSED`` if it has no such
        attempt.  This recovers from connections that went silent, and is safe
        for requests that must not run twice.  A target that neither answers nor
        refuses in time is ``STREAM_SILENT``: the attempt may still run.
        """

    async def cancel(
        self, target: Target, request_id: str, attempt: int
    ) -> Result[None, Fault]:
        """Ask a target to drop a request's attempts up to this one.

        A cancel may arrive late; without the attempt's number it would end a
        newer attempt that has returned to the same target.
        """

    async def call(
        self, target: Target, request: ServiceRequest
    ) -> Result[ServiceAnswer, Fault]:
        """Call a plain service and return its complete answer."""

    async def load(self, target: Target) -> Result[LoadReport, Fault]:
        """Return the target's load report."""

    async def cache_events(
        self, target: Target, after: int
    ) -> Result[Sequence[CacheEvent], Fault]:
        """Return cache events with a sequence above ``after``; gaps are possible."""

    async def order(self, target: Target, order: TargetOrder) -> Result[None, Fault]:
        """Send an order; one with an old fencing number gets ``ORDER_FENCED``."""

    async def export_kv(
        self, target: Target, request_id: str
    ) -> Result[KvState, Fault]:
        """Read a request's KV cache from a target that is still alive."""

    async def import_kv(self, target: Target, state: KvState) -> Result[None, Fault]:
        """Transfer a request's KV cache to a target before an attempt starts."""


@dataclass(slots=True, frozen=True)
class StoredObject:
    """An object of the platform's API; ``version`` 0 means absent."""

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
    """Changes after a revision; empty if none came within the timeout."""

    revision: int
    objects: tuple[StoredObject, ...]


@dataclass(slots=True, frozen=True)
class HostListing:
    """The platform's list of live and leaving hosts, which may be out of date."""

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
        ``PLATFORM_AMBIGUOUS``: the answer was lost; read the object back to see
        whether the write took effect.
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
    """Source from which the caller edge reads profiles."""

    def find(self, name: str) -> Result[Profile, Fault]:
        """Return the active profile, or why there is none."""

    def names(self) -> Sequence[str]:
        """Return the names of the active profiles."""


class Serving(Protocol):
    """Runs the requests that the caller edge accepts."""

    async def generate(
        self, request: Request, sink: TokenSink
    ) -> Result[Finished, Fault]:
        """Run a model request; committed tokens go to the sink in order.

        A fault's ``outcome`` is what may be reported to the caller.  Cancelling the
        call cancels the request's work at its targets.
        """

    async def call_service(
        self, request: ServiceRequest
    ) -> Result[ServiceAnswer, Fault]:
        """Call a plain service and return its answer."""


PeerHandler = Callable[[str, bytes], Awaitable[Result[bytes, Fault]]]


class PeerPort(Protocol):
    """Messages between entry hosts; payloads are Cap'n Proto, one schema per topic."""

    def members(self) -> Sequence[Member]:
        """Return every known entry host, this one included, with its state."""

    async def ask(
        self, member_id: str, topic: str, payload: bytes, timeout_s: float
    ) -> Result[bytes, Fault]:
        """Send one request and return its answer, or ``PEER_UNREACHABLE``.

        After ``PEER_UNREACHABLE`` the request may or may not have been handled;
        a handler must tolerate receiving it twice.
        """

    def answer(self, topic: str, handler: PeerHandler) -> None:
        """Register the coroutine that answers a topic's requests.

        It receives the requesting member's id and the payload.
        """
