"""The datagrams between entry hosts, as MessagePack."""

import zlib
from collections.abc import Iterator

import msgspec

from radishfield.crashes import CrashReport
from radishfield.telemetry import log_event

DATAGRAM_BYTES = 8 << 10
NEWS_BYTES = DATAGRAM_BYTES - 64
"""The rest is for the frame around the items."""
MOST_CONFIG_BYTES = 1 << 20
"""Longest configuration that is inflated: the store holds none that is longer."""


class Work(msgspec.Struct, array_like=True):
    """Requests at a target, and the token-layers that they will fill there."""

    target_id: str
    requests: int
    token_layers: int
    as_first: int


class Use(msgspec.Struct, array_like=True):
    """What a host used of a service's allowance of repeats in its window."""

    service: str
    firsts: int
    repeats: int


class LinkShare(msgspec.Struct, array_like=True):
    """Share of the time of the link between two zones that a host's prompts take."""

    zone: str
    other: str
    share: float


class Pace(msgspec.Struct, array_like=True):
    """How many times slower than its kind a target was, ``age_s`` ago."""

    target_id: str
    pace: float
    age_s: float


class Echo(msgspec.Struct, array_like=True):
    """A host, and the time on its own clock at which it sent what was heard last."""

    host_id: str
    sent_at: float


class TargetNews(msgspec.Struct, array_like=True, frozen=True):
    """What the store holds of one target.

    Attributes
    ----------
    spec : object
        What lies in its entry; None if the entry is gone.
    """

    target_id: str
    revision: int
    spec: object


class PeerNews(msgspec.Struct, array_like=True, tag="news"):
    """What the store told a host of targets, passed on within its zone."""

    items: list[TargetNews]


class PeerConfig(msgspec.Struct, array_like=True, tag="config"):
    """A version of the configuration, passed on within a zone.

    Attributes
    ----------
    body : bytes
        What lies in its object, as deflated MessagePack.
    """

    version: int
    revision: int
    body: bytes


class PeerCrashes(msgspec.Struct, array_like=True, tag="crashes"):
    """What a host knows of requests under which targets ended."""

    host_id: str
    zone: str
    reports: list[CrashReport]


class PeerSum(msgspec.Struct, array_like=True, tag="sum"):
    """The work of all hosts of a zone, and their use of links, as ``age_s`` ago."""

    zone: str
    age_s: float
    work: list[Work]
    links: list[LinkShare] = []
    paces: list[Pace] = []


class PeerStatus(msgspec.Struct, array_like=True, tag="status"):
    """One host's state, whole.

    Attributes
    ----------
    sent_at : float
        Reading of the sender's clock; only the sender itself reads it again.
    config_age_s : float
        Seconds since the sender's configuration was confirmed; negative before.
    store_silent_s : float
        Seconds since the sender had an answer of the store; negative before.
    watches : bool
        The sender follows the store for its zone.
    targets_digest : int
        What hosts with the same list of targets share.
    targets_age_s : float
        Seconds since the sender's list was confirmed; negative before.
    passed_duties : list of str
        Duties that the sender has just heard of from their holders.
    answered : list of tuple
        Targets that the sender had left out, and that have answered it.
    paces : list of Pace
        Targets that are slow, or were until just now.
    crashes_checksum : int
        What hosts share that know of the same targets' ends under requests.
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
    passed_duties: list[str] = []
    answered: list[tuple[str, int]] = []
    paces: list[Pace] = []
    crashes_checksum: int = 0


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(
    PeerStatus | PeerNews | PeerConfig | PeerSum | PeerCrashes
)


def config_datagram(version: int, revision: int, spec: object) -> bytes | None:
    """Return a configuration as a datagram, or None where it does not fit one.

    Hosts that are not told read it from the store.
    """
    try:
        body = zlib.compress(encoder.encode(spec))
    except (OverflowError, ValueError) as problem:
        # JSON has longer numbers than MessagePack.
        log_event("config.unsendable", version=version, detail=str(problem))
        return None
    if len(body) > NEWS_BYTES:
        log_event("config.too_long", version=version, bytes=len(body))
        return None
    return encoder.encode(PeerConfig(version, revision, body))


def config_spec(message: PeerConfig) -> object:
    """Return what lies in a configuration's object; raise `ValueError` if damaged."""
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(message.body, MOST_CONFIG_BYTES)
    except zlib.error as problem:
        raise ValueError(str(problem)) from problem
    if not inflater.eof:
        raise ValueError("a configuration that is cut off or too long")
    return msgspec.msgpack.decode(text)


def news_datagrams(items: list[TargetNews]) -> Iterator[bytes]:
    """Return news in datagrams, none of them too long to be received.

    What does not fit one by itself is left out: hosts that lack it notice that
    their lists differ, and read the store.
    """
    chunk: list[TargetNews] = []
    size = 0
    for item in items:
        try:
            length = len(encoder.encode(item))
        except (OverflowError, ValueError) as problem:
            # Entries may have other writers, and JSON has longer numbers.
            log_event("news.unsendable", target=item.target_id, detail=str(problem))
            continue
        if length > NEWS_BYTES:
            log_event("news.too_long", target=item.target_id, bytes=length)
            continue
        if size + length > NEWS_BYTES:
            yield encoder.encode(PeerNews(chunk))
            chunk, size = [], 0
        chunk.append(item)
        size += length
    if chunk:
        yield encoder.encode(PeerNews(chunk))
