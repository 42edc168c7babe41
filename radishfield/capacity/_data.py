"""Values that describe what a fleet can carry: held layers, flows, room, demand."""

from collections.abc import Mapping

import msgspec


class HeldLayers(msgspec.Struct, frozen=True):
    """Layers that a target holds, and how much it carries over them.

    Attributes
    ----------
    first, end : int
        The layers, ``end`` exclusive.
    layer_streams : float
        Streams times layers that it carries at a time: one that runs twenty streams
        through ten layers carries two hundred.
    """

    target_id: str
    zone: str
    first: int
    end: int
    layer_streams: float


class ChainFlow(msgspec.Struct, frozen=True):
    """The most streams that targets carry at a time through all layers.

    Attributes
    ----------
    streams : float
        Zero if some layer is held by no target.
    narrowest : tuple of int
        Layers that bound the flow, the end exclusive.
    """

    streams: float
    narrowest: tuple[int, int]


class StreamRoom(msgspec.Struct, frozen=True):
    """Streams of one service that run, and those that its targets can carry.

    Attributes
    ----------
    total : float
        Streams of typical size that all targets carry at a time.
    used : float
        Those that run now, at all hosts, in streams of typical size.
    total_by_zone : mapping
        Streams that the targets of each zone carry without any other zone.
    """

    total: float
    used: float
    total_by_zone: Mapping[str, float] = msgspec.field(default_factory=dict)

    @property
    def free(self) -> float:
        """Return the streams that may start now."""
        return max(0.0, self.total - self.used)


class RankDemand(msgspec.Struct, array_like=True, frozen=True):
    """What one host's callers of one rank ask for.

    Attributes
    ----------
    rank : int
        0 is the most urgent.
    starts_per_s : float
        Streams that began, waited or were rejected in the last second.
    waiting : int
        Streams that wait for room now.
    running : int
        Streams that run now.
    """

    rank: int
    starts_per_s: float
    waiting: int
    running: int


class WorkspaceUse(msgspec.Struct, array_like=True, frozen=True):
    """What one workspace holds and asks for, at one host or at several.

    Attributes
    ----------
    running : float
        Streams of typical size that run.
    starts_per_s : float
        Streams that began, waited or were rejected in the last two seconds, a second.
    """

    workspace: str
    running: float
    starts_per_s: float


class ServiceDemand(msgspec.Struct, array_like=True, frozen=True):
    """Demand for one service at one host, or at all hosts of a zone."""

    service: str
    ranks: list[RankDemand] = []
    workspaces: list[WorkspaceUse] = []


class PlainTargetUse(msgspec.Struct, array_like=True, frozen=True):
    """What one host observed of a plain target in the last seconds.

    Attributes
    ----------
    answer_s : float
        Mean answer time, in seconds.
    answers : int
        Answers that it was taken from.
    in_flight : int
        Requests of this host that the target holds now.
    fastest_s : float
        Shortest of the answer times of the last second.
    limit : int
        Requests that the target should hold at most, from all hosts; 0 if the host
        found no such limit.
    fresh : int
        Answers of the last second.
    waited_s : float
        Longest wait of a request without an answer, in the last second.
    waits : int
        Requests that waited nearly as long.
    """

    target_id: str
    started_ms: int
    answer_s: float
    answers: int
    in_flight: int
    fastest_s: float = 0.0
    limit: int = 0
    fresh: int = 0
    waited_s: float = 0.0
    waits: int = 0
