"""The messages between entry hosts, as datagrams of MessagePack."""

import enum
import zlib
from collections.abc import Iterator
from typing import Annotated

import msgspec

from radishfield.capacity import PlainTargetUse, ServiceDemand
from radishfield.core import UNREADABLE_ERRORS
from radishfield.crashes import CrashReport
from radishfield.routing import MAX_ERA, AnswerCounts, Position
from radishfield.telemetry import log_event

DATAGRAM_BYTES = 8 << 10
MAX_UPDATE_BYTES = DATAGRAM_BYTES - 64
"""Space for items in a datagram; the rest is for the frame around them."""
MAX_CONFIG_BYTES = 1 << 20
"""Maximum size of a decompressed configuration; the store holds no longer ones."""


class RelayOffer(enum.IntEnum):
    """Whether a host connects others to targets; older hosts don't."""

    NONE = 0
    CUT_OFF = 1
    """Its own links to some targets are down."""
    SOUND = 2


class Work(msgspec.Struct, array_like=True):
    """Requests at a target and the token-layers that they will occupy there."""

    target_id: str
    requests: int
    token_layers: int
    as_first: int


class Use(msgspec.Struct, array_like=True):
    """A host's use of a service's retry budget within the budget's window."""

    service: str
    firsts: int
    repeats: int


class LinkShare(msgspec.Struct, array_like=True):
    """Share of the time of the link between two zones taken by a host's prompts."""

    zone: str
    other: str
    share: float


class TargetSlowdown(msgspec.Struct, array_like=True):
    """Slowdown factor of a target against others of its kind, ``age_s`` ago."""

    target_id: str
    slowdown: float
    age_s: float


class Echo(msgspec.Struct, array_like=True):
    """A host, and the time on its clock at which it sent its last received status."""

    host_id: str
    sent_at: float


class TargetUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A target's entry in the store.

    Attributes
    ----------
    spec : object
        Content of the entry; None if it was deleted.
    era : int
        Era of the store that gave out the revision; not sent by older hosts.
    """

    target_id: str
    revision: int
    spec: object
    era: int = 0

    @classmethod
    def at(cls, target_id: str, position: Position, spec: object) -> "TargetUpdate":
        """Return the update of an entry as of a position of the store."""
        return cls(target_id, position.revision, spec, position.era)

    @property
    def position(self) -> Position:
        """Return the position of the store at which the entry was like this."""
        return Position(self.era, self.revision)


class PeerTargetUpdates(msgspec.Struct, array_like=True, tag="news"):
    """Changes of targets in the store, forwarded by a host within its zone."""

    items: list[TargetUpdate]


class PeerConfig(msgspec.Struct, array_like=True, tag="config"):
    """A version of the configuration, forwarded within a zone.

    Attributes
    ----------
    body : bytes
        Content of the object in the store, as deflated MessagePack.
    """

    version: int
    revision: int
    body: bytes
    era: int = 0


class PeerCrashes(msgspec.Struct, array_like=True, tag="crashes"):
    """A host's records of requests under which targets crashed."""

    host_id: str
    zone: str
    reports: list[CrashReport]


class PeerZoneTotal(msgspec.Struct, array_like=True, tag="sum"):
    """The work of all hosts of a zone and their use of links, ``age_s`` ago.

    Attributes
    ----------
    demand : list of ServiceDemand
        What the callers of all these hosts ask for; not sent by older hosts.
    """

    zone: str
    age_s: float
    work: list[Work]
    links: list[LinkShare] = []
    slowdowns: list[TargetSlowdown] = []
    demand: list[ServiceDemand] = []


class TargetRateLimit(msgspec.Struct, array_like=True):
    """The requests per second that a target takes from all hosts, named ``age_s`` ago.

    Attributes
    ----------
    per_s : float
        Negative if the target no longer names a limit.
    by_report : bool
        A report of the target has named it.
    """

    target_id: str
    started_ms: int
    per_s: float
    age_s: float
    by_report: bool = False


class PeerRateLimits(msgspec.Struct, array_like=True, tag="limits"):
    """The limits of targets that a host knows."""

    host_id: str
    limits: list[TargetRateLimit]


class PeerTokenRequest(msgspec.Struct, array_like=True, tag="ask"):
    """A host asks an issuer for one token of each of these limited targets.

    Attributes
    ----------
    asked_at : float
        Reading of the sender's clock; only the sender interprets it, in the answer.
    """

    host_id: str
    zone: str
    asked_at: float
    limits: list[TargetRateLimit]


class PeerTokenGrant(msgspec.Struct, array_like=True, tag="grant"):
    """An issuer gives one token of each of these targets to the host that asked."""

    host_id: str
    asked_at: float
    target_ids: list[str]


class PeerListConfirmation(msgspec.Struct, array_like=True, tag="list"):
    """A watcher's list of targets, which the store confirmed ``age_s`` ago."""

    host_id: str
    digest: int
    age_s: float
    echoes: list[Echo]


class PeerStatus(msgspec.Struct, array_like=True, tag="status"):
    """The complete state of one host.

    Attributes
    ----------
    sent_at : float
        Reading of the sender's clock; only the sender interprets it, in echoes.
    config_age_s : float
        Seconds since the sender's configuration was confirmed; negative before.
    store_silent_s : float
        Seconds since the store last answered the sender; negative before.
    watches : bool
        The sender follows the store for its zone.
    targets_digest : int
        Digest that is equal for hosts with the same list of targets.
    targets_age_s : float
        Seconds since the sender's list was confirmed; negative before.
    forwarded_duties : list of str
        Duties that the sender recently received from their holders.
    answered : list of tuple
        Targets that the sender had excluded and that have since answered it.
    slowdowns : list of TargetSlowdown
        Targets that are slow, or were until recently.
    crashes_checksum : int
        Checksum that is equal for hosts with the same records of target crashes
        under requests.
    relay : RelayOffer
        Whether the sender connects other hosts to targets, at the address at which
        it receives datagrams.
    failures : list of AnswerCounts
        Failed answers of plain targets to the sender.
    idle_share : float
        Idle share of the sender's event loop, 0 if it should get no more callers;
        negative from a host that does not measure it.
    demand : list of ServiceDemand
        What the sender's callers ask for; not sent by older hosts.
    plain_use : list of PlainTargetUse
        Answer times of plain targets to the sender; not sent by older hosts.
    store_era : int
        Newest era of the store that the sender knows; not sent by older hosts.
    confirmed_era : int
        Newest era of the store in which the sender's version was confirmed; not sent
        by older hosts.
    """

    host_id: str
    zone: str
    address: str
    work: list[Work]
    leaving: list[tuple[str, int]]
    lost: list[tuple[str, int]]
    duties: list[str]
    sent_at: float
    config_version: int
    config_age_s: float
    store_silent_s: float
    echoes: list[Echo]
    uses: list[Use]
    links: list[LinkShare]
    watches: bool = False
    targets_digest: int = 0
    targets_age_s: float = -1.0
    forwarded_duties: list[str] = []
    answered: list[tuple[str, int]] = []
    slowdowns: list[TargetSlowdown] = []
    crashes_checksum: int = 0
    relay: RelayOffer = RelayOffer.NONE
    failures: list[AnswerCounts] = []
    idle_share: float = -1.0
    demand: list[ServiceDemand] = []
    plain_use: list[PlainTargetUse] = []
    store_era: Annotated[int, msgspec.Meta(ge=0, le=MAX_ERA)] = 0
    confirmed_era: Annotated[int, msgspec.Meta(ge=0, le=MAX_ERA)] = 0


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(
    PeerStatus
    | PeerTargetUpdates
    | PeerListConfirmation
    | PeerConfig
    | PeerZoneTotal
    | PeerCrashes
    | PeerRateLimits
    | PeerTokenRequest
    | PeerTokenGrant
)


def config_datagram(version: int, position: Position, spec: object) -> bytes | None:
    """Return a configuration as a datagram, or None if it can't be sent as one.

    Hosts that do not receive it read it from the store.
    """
    try:
        body = zlib.compress(encoder.encode(spec))
    except UNREADABLE_ERRORS as problem:
        # JSON allows larger numbers than MessagePack.
        log_event("config.unsendable", version=version, detail=str(problem))
        return None
    if len(body) > MAX_UPDATE_BYTES:
        log_event("config.too_long", version=version, bytes=len(body))
        return None
    return encoder.encode(PeerConfig(version, position.revision, body, position.era))


def config_spec(message: PeerConfig) -> object:
    """Return the content of a configuration; raise `ValueError` if it is damaged."""
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(message.body, MAX_CONFIG_BYTES)
    except zlib.error as problem:
        raise ValueError(str(problem)) from problem
    if not inflater.eof:
        raise ValueError("configuration is truncated or too long")
    return msgspec.msgpack.decode(text)


def update_datagrams(items: list[TargetUpdate]) -> Iterator[bytes]:
    """Yield updates in datagrams, none of them too long to be received.

    An update that does not fit a datagram by itself is left out.  Hosts that lack it
    notice that their lists differ and read the store.
    """
    chunk: list[TargetUpdate] = []
    size = 0
    for item in items:
        try:
            length = len(encoder.encode(item))
        except UNREADABLE_ERRORS as problem:
            # Entries may have other writers, and JSON allows larger numbers.
            log_event("news.unsendable", target=item.target_id, detail=str(problem))
            continue
        if length > MAX_UPDATE_BYTES:
            log_event("news.too_long", target=item.target_id, bytes=length)
            continue
        if size + length > MAX_UPDATE_BYTES:
            yield encoder.encode(PeerTargetUpdates(chunk))
            chunk, size = [], 0
        chunk.append(item)
        size += length
    if chunk:
        yield encoder.encode(PeerTargetUpdates(chunk))
