"""Reads a settings file and checks each key and the combinations of keys."""

import configparser
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

from expression import Error, Ok, Result

from radishfield.core import Fault, ResultCode, fault
from radishfield.settings._fields import section_fields
from radishfield.settings._sections import (
    CallerSettings,
    ClaimsSettings,
    DrainSettings,
    HostSettings,
    LeasesSettings,
    LogSettings,
    MetricsExport,
    MetricsSettings,
    OperatorSettings,
    OrdersSettings,
    PeersSettings,
    PlacementSection,
    PlatformSettings,
    ResourcesSettings,
)

if TYPE_CHECKING:
    from radishfield.core import Link, Profile, Target

T = TypeVar("T")

SECTION_TYPE_BY_NAME = {
    "host": HostSettings,
    "caller": CallerSettings,
    "operator": OperatorSettings,
    "resources": ResourcesSettings,
    "platform": PlatformSettings,
    "peers": PeersSettings,
    "claims": ClaimsSettings,
    "leases": LeasesSettings,
    "orders": OrdersSettings,
    "placement": PlacementSection,
    "log": LogSettings,
    "metrics": MetricsSettings,
    "drain": DrainSettings,
}
LINE_SECTIONS = ("targets", "profiles", "links")
# Below this length a token can be guessed within a day over a network.
MIN_TOKEN_LENGTH = 16


@dataclass(slots=True, frozen=True)
class EntrySettings:
    """All settings of an entry host, by section.

    Attributes
    ----------
    extra_by_section : mapping
        Sections of other packages, whose data classes are passed to `from_file`.
    """

    host: HostSettings = HostSettings()
    caller: CallerSettings = CallerSettings()
    operator: OperatorSettings = OperatorSettings()
    resources: ResourcesSettings = ResourcesSettings()
    platform: PlatformSettings = PlatformSettings()
    peers: PeersSettings = PeersSettings()
    claims: ClaimsSettings = ClaimsSettings()
    leases: LeasesSettings = LeasesSettings()
    orders: OrdersSettings = OrdersSettings()
    placement: PlacementSection = PlacementSection()
    log: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()
    drain: DrainSettings = DrainSettings()
    targets: "tuple[Target, ...]" = ()
    profiles: "tuple[Profile, ...]" = ()
    links: "tuple[Link, ...]" = ()
    extra_by_section: Mapping[str, object] = field(default_factory=dict)

    @classmethod
    def from_file(
        cls, path: str, extra_types: Mapping[str, type] | None = None
    ) -> Result["EntrySettings", list[Fault]]:
        """Read and check a file.

        Parameters
        ----------
        extra_types : mapping of str to type, optional
            Data classes of further sections, by section name.  A field may use
            ``Annotated[float, msgspec.Meta(ge=..., le=...)]`` for its limits.
        """
        return _SettingsReader(path, dict(extra_types or {})).settings()

    def section(self, name: str, kind: type[T]) -> T:
        """Return a registered section, or its defaults if the file has none."""
        value = self.extra_by_section.get(name)
        return value if isinstance(value, kind) else kind()


class _SettingsReader:
    """Reads one file and collects its faults in ``faults``."""

    __slots__ = ("path", "faults", "_extra_types")

    def __init__(self, path: str, extra_types: dict[str, type]):
        self.path = path
        self.faults: list[Fault] = []
        self._extra_types = extra_types

    def settings(self) -> Result[EntrySettings, list[Fault]]:
        parser = self._parse()
        if parser is None:
            return Error(self.faults)
        self._check_section_names(parser)
        value_by_section = {
            name: self._read_section(parser, name, kind)
            for name, kind in SECTION_TYPE_BY_NAME.items()
        }
        extra_by_section = {
            name: self._read_section(parser, name, kind)
            for name, kind in self._extra_types.items()
        }
        lines_by_section = {
            name: self._read_lines(parser, name) for name in LINE_SECTIONS
        }
        settings = EntrySettings(
            **value_by_section, **lines_by_section, extra_by_section=extra_by_section
        )
        if not self.faults:
            self._check_combinations(settings)
        if not self.faults:
            settings = self._load_operator_token(settings)
        return Error(self.faults) if self.faults else Ok(settings)

    def _parse(self) -> configparser.ConfigParser | None:
        parser = configparser.ConfigParser(interpolation=None, default_section="")
        # Names of targets and profiles keep their case.
        parser.optionxform = str
        try:
            text = Path(self.path).read_text(encoding="utf-8")
            parser.read_string(text, source=self.path)
        except OSError as error:
            reason = f"{error.strerror}; allowed: a readable file"
            self._add_fault("-", "-", fault(ResultCode.SETTING_FILE_MISSING, reason))
            return None
        except (configparser.Error, UnicodeDecodeError, ValueError) as error:
            reason = " ".join(str(error).split())
            detail = f"{reason}; allowed: INI in UTF-8, each section and key once"
            self._add_fault("-", "-", fault(ResultCode.SETTING_TYPE, detail))
            return None
        return parser

    def _check_section_names(self, parser: configparser.ConfigParser) -> None:
        known = [*SECTION_TYPE_BY_NAME, *LINE_SECTIONS, *self._extra_types]
        for name in parser.sections():
            if name not in known:
                detail = f"unknown section; allowed: {', '.join(known)}"
                self._add_fault(name, "-", fault(ResultCode.SETTING_UNKNOWN, detail))

    def _read_section(
        self, parser: configparser.ConfigParser, name: str, kind: type[T]
    ) -> T:
        field_by_key = {item.key: item for item in section_fields(kind)}
        value_by_name: dict[str, object] = {}
        for key, text in parser[name].items() if name in parser else ():
            item = field_by_key.get(key)
            if item is None:
                detail = f"unknown key; allowed: {', '.join(field_by_key)}"
                self._add_fault(name, key, fault(ResultCode.SETTING_UNKNOWN, detail))
                continue
            match item.read(text):
                case Result(tag="ok", ok=value):
                    value_by_name[item.name] = value
                case Result(tag="error", error=problem):
                    self._add_fault(name, key, problem)
        return kind(**value_by_name)

    def _read_lines(self, parser: configparser.ConfigParser, name: str) -> tuple:
        if name not in parser:
            return ()
        # A router has none of these sections and does not import their reader.
        from radishfield.settings._lists import LINE_READER_BY_SECTION

        values = []
        for key, text in parser[name].items():
            match LINE_READER_BY_SECTION[name](key, text):
                case Result(tag="ok", ok=value):
                    values.append(value)
                case Result(tag="error", error=problem):
                    self._add_fault(name, key, problem)
        return tuple(values)

    def _check_combinations(self, settings: EntrySettings) -> None:
        for name in ("caller", "operator"):
            section = getattr(settings, name)
            if bool(section.tls_cert) != bool(section.tls_key):
                key = "tls_key" if section.tls_cert else "tls_cert"
                self._add_missing_fault(
                    name, key, "both tls_cert and tls_key, or neither"
                )
        operator, peers = settings.operator, settings.peers
        if not settings.caller.bind:
            self._add_missing_fault("caller", "bind", "an IP address with a port")
        if operator.token and operator.token_file:
            detail = "token is also set; allowed: token or token_file, not both"
            problem = fault(ResultCode.SETTING_TYPE, detail)
            self._add_fault("operator", "token_file", problem)
        if operator.bind and not (operator.token or operator.token_file):
            self._add_missing_fault(
                "operator", "token", "token or token_file when bind is set"
            )
        if peers.bind and peers.active_key not in {key.id for key in peers.keys}:
            self._add_missing_fault("peers", "active_key", "the id of one of the keys")
        if settings.leases.renew_s * 2 > settings.leases.duration_s:
            # The lease must survive one lost renewal.
            detail = "too long; allowed: at most half of duration"
            self._add_fault("leases", "renew", fault(ResultCode.SETTING_RANGE, detail))
        if (
            settings.metrics.export is MetricsExport.SCRAPE
            and settings.metrics.bind
            and settings.metrics.bind in (settings.caller.bind, operator.bind)
        ):
            detail = "used by another listener; allowed: blank, or a separate address"
            problem = fault(ResultCode.SETTING_RANGE, detail)
            self._add_fault("metrics", "bind", problem)

    def _load_operator_token(self, settings: EntrySettings) -> EntrySettings:
        operator, key = settings.operator, "token"
        if operator.token_file:
            key = "token_file"
            try:
                token = Path(operator.token_file).read_text(encoding="utf-8").strip()
            except (OSError, UnicodeDecodeError):
                token = ""
            operator = replace(operator, token=token)
        if operator.bind and len(operator.token) < MIN_TOKEN_LENGTH:
            detail = f"too short; allowed: {MIN_TOKEN_LENGTH} characters or more"
            self._add_fault("operator", key, fault(ResultCode.SETTING_RANGE, detail))
        return replace(settings, operator=operator)

    def _add_missing_fault(self, section: str, key: str, allowed: str) -> None:
        detail = f"not set; allowed: {allowed}"
        self._add_fault(section, key, fault(ResultCode.SETTING_MISSING, detail))

    def _add_fault(self, section: str, key: str, problem: Fault) -> None:
        detail = f"{self.path}: [{section}] {key}: {problem.detail}"
        # A fault stays on one line even if the file's text has line breaks.
        self.faults.append(fault(problem.code, " ".join(detail.split())))
