"""Defines the sections of a settings file as data classes with their limits.

A field's ``Meta`` holds its limits and, under ``unit``, how its text is parsed.
The key in the file is the field's name without its unit: ``body_timeout_s`` is
written ``body_timeout = 10s``.
"""

import enum
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from radishfield.settings._units import PeerKey

DURATION = {"unit": "duration"}
SIZE = {"unit": "size"}

Name = Annotated[
    str,
    Meta(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z",
        description="1 to 63 letters, digits, '.', '_' or '-'",
    ),
]
Address = Annotated[str, Meta(extra={"unit": "address"})]
Addresses = Annotated[tuple[str, ...], Meta(extra={"unit": "addresses"})]
Keys = Annotated[tuple[PeerKey, ...], Meta(extra={"unit": "keys"})]
FilePath = Annotated[str, Meta(extra={"unit": "file"})]
Secret = Annotated[str, Meta(extra={"unit": "secret"})]
ShortTime = Annotated[float, Meta(ge=0.001, le=60.0, extra=DURATION)]
LongTime = Annotated[float, Meta(ge=0.0, le=86400.0, extra=DURATION)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]


class LogLevel(enum.StrEnum):
    """The lowest level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogStream(enum.StrEnum):
    """Destination of log lines; hosts have no disks, so there are no log files."""

    STDERR = "stderr"
    STDOUT = "stdout"
    OFF = "off"


class MetricsExport(enum.StrEnum):
    """How metrics leave the process."""

    SCRAPE = "scrape"
    OFF = "off"


@dataclass(slots=True, frozen=True)
class HostSettings:
    """[host]: the id and availability zone of this entry host."""

    id: Name = "host-1"
    zone: Name = "a"


@dataclass(slots=True, frozen=True)
class CallerSettings:
    """[caller]: the listener for callers and its limits.

    Attributes
    ----------
    max_in_flight : int
        Requests served at a time, including those that wait for a target.
    """

    bind: Address = "127.0.0.1:8080"
    tls_cert: FilePath = ""
    tls_key: FilePath = ""
    max_body_bytes: Annotated[int, Meta(ge=1 << 10, le=64 << 20, extra=SIZE)] = 1 << 20
    body_timeout_s: ShortTime = 10.0
    max_in_flight: Count = 1024


@dataclass(slots=True, frozen=True)
class OperatorSettings:
    """[operator]: the listener for operators; a blank ``bind`` turns it off."""

    bind: Address = ""
    token: Secret = field(default="", repr=False)
    token_file: FilePath = ""
    tls_cert: FilePath = ""
    tls_key: FilePath = ""


@dataclass(slots=True, frozen=True)
class ResourcesSettings:
    """[resources]: what the process may take on its host.

    Attributes
    ----------
    memory_bytes : int
        Memory at which the process is killed; 0: all memory of the host.
    open_files : int
        Descriptors that it may hold; 0: the limit that the process was started with.
    """

    memory_bytes: Annotated[int, Meta(ge=0, le=1 << 40, extra=SIZE)] = 0
    open_files: Annotated[int, Meta(ge=0, le=1 << 24)] = 0


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """[platform]: the object API; a blank ``address`` means none.

    Attributes
    ----------
    max_calls_per_s : float
        This host's call budget; the platform counts each call, a watch as one.
    watch_s : float
        Maximum wait of one watch.
    list_period_s : float
        Time between complete listings, which recover skipped events.
    hosts_period_s : float
        Time between reads of the list of live and leaving hosts.
    """

    address: Address = ""
    call_timeout_s: ShortTime = 2.0
    max_calls_per_s: Annotated[float, Meta(ge=0.1, le=1000.0)] = 5.0
    watch_s: ShortTime = 4.0
    list_period_s: ShortTime = 4.0
    hosts_period_s: ShortTime = 2.0


@dataclass(slots=True, frozen=True)
class PeersSettings:
    """[peers]: messages between entry hosts; a blank ``bind`` turns them off."""

    bind: Address = ""
    seeds: Addresses = ()
    keys: Keys = field(default=(), repr=False)
    active_key: str = ""


@dataclass(slots=True, frozen=True)
class ClaimsSettings:
    """[claims]: idempotency claims, and how long answers are kept for retries.

    Attributes
    ----------
    keep_s : float
        Time for which a key is kept, counted from its claim.
    max_calls_per_s : float
        This host's budget of calls to the platform for claims alone.
    """

    keep_s: Annotated[float, Meta(ge=1.0, le=86400.0, extra=DURATION)] = 600.0
    max_kept: Count = 10_000
    ask_timeout_s: ShortTime = 0.5
    max_calls_per_s: Annotated[float, Meta(ge=0.1, le=1000.0)] = 50.0


@dataclass(slots=True, frozen=True)
class LeasesSettings:
    """[leases]: one holder per duty and zone, in the platform's object API.

    Attributes
    ----------
    longest_order_s : float
        Time that a new holder waits for targets that ignore fencing numbers.
    """

    duration_s: ShortTime = 12.0
    renew_s: ShortTime = 3.0
    longest_order_s: ShortTime = 5.0


@dataclass(slots=True, frozen=True)
class OrdersSettings:
    """[orders]: orders to targets.

    Attributes
    ----------
    load_interval_s : float
        Minimum time between orders that load weights from the rate-limited store.
    load_s : float
        Time that a load of weights is expected to take.
    """

    timeout_s: ShortTime = 5.0
    load_interval_s: LongTime = 5.0
    load_s: LongTime = 120.0


@dataclass(slots=True, frozen=True)
class PlacementSection:
    """[placement]: the lease holder's assignment of layers to targets.

    Attributes
    ----------
    enabled : bool
        If off, layers are moved only by operators.
    layers_per_s : float
        Rate of one load from the weight store.
    """

    enabled: bool = True
    period_s: Annotated[float, Meta(ge=10.0, le=86400.0, extra=DURATION)] = 300.0
    layers_per_s: Annotated[float, Meta(ge=0.001, le=10000.0)] = 1.0
    concurrent_loads: Annotated[int, Meta(ge=1, le=100)] = 1


@dataclass(slots=True, frozen=True)
class LogSettings:
    """[log]: JSON lines with one event each."""

    level: LogLevel = LogLevel.INFO
    destination: LogStream = LogStream.STDERR


@dataclass(slots=True, frozen=True)
class MetricsSettings:
    """[metrics]: a blank ``bind`` serves /metrics on the operators' listener."""

    export: MetricsExport = MetricsExport.SCRAPE
    bind: Address = ""


@dataclass(slots=True, frozen=True)
class DrainSettings:
    """[drain]: the steps of a graceful shutdown.

    Attributes
    ----------
    notice_s : float
        Time for which new requests are still accepted after readiness fails,
        so that the load balancer can detect it.
    timeout_s : float
        Time after which requests still in flight are abandoned.
    """

    notice_s: LongTime = 3.0
    timeout_s: LongTime = 600.0
