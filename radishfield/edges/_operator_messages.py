"""Defines the JSON messages that operators and the command line send and receive."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from radishfield.core import (
    Host,
    LayerRange,
    Priority,
    Profile,
    Target,
    TargetKind,
)
from radishfield.fleet import ProfileInZone
from radishfield.telemetry import RequestRecord

PriorityName = Literal["urgent", "high", "normal", "low"]
Name = Annotated[
    str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z", description="a name")
]
Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]{3,45}:[0-9]{1,5}\Z")]
OptionalAddress = Annotated[
    str, Meta(pattern=r"^([0-9a-fA-F.:\[\]]{3,45}:[0-9]{1,5})?\Z")
]
Layer = Annotated[int, Meta(ge=0, le=100_000)]


class Message(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of all messages that operators send; unknown fields are refused."""


class ProfileBody(Message):
    """A profile to publish, or the new values of a published one.

    ``expected_version`` is the version that the operator saw.  If the current
    version is newer, the change is a conflict.
    """

    name: Name
    model: Name
    kind: TargetKind = TargetKind.ENGINE
    priority: PriorityName = "normal"
    deadline_s: Annotated[float, Meta(ge=0.01, le=86_400)] = 30.0
    idempotent: bool = True
    expected_version: int | None = None

    def profile(self) -> Profile:
        """Return the profile that the body describes."""
        return Profile(
            self.name,
            self.model,
            self.kind,
            Priority[self.priority.upper()],
            self.deadline_s,
            self.idempotent,
        )


class RetireBody(Message):
    """The version of a profile that the operator means to retire."""

    expected_version: int | None = None


class TargetBody(Message):
    """A target to add."""

    id: Name
    host: Name
    zone: Name
    address: Address
    model: Name
    kind: TargetKind = TargetKind.ENGINE
    model_version: str = "1"
    first: Layer = 0
    end: Layer = 0
    model_layers: Layer = 0
    speed_tps: Annotated[float, Meta(ge=0)] = 0.0
    slots: Annotated[int, Meta(ge=1)] = 8
    checks_fencing: bool = False

    def target(self) -> Target:
        """Return the target that the body describes."""
        return Target(
            id=self.id,
            host=self.host,
            zone=self.zone,
            address=self.address,
            kind=self.kind,
            model=self.model,
            model_version=self.model_version,
            layers=LayerRange(self.first, self.end),
            model_layers=self.model_layers,
            speed_tps=self.speed_tps,
            slots=self.slots,
            checks_fencing=self.checks_fencing,
        )


class HostBody(Message):
    """A host to add; other hosts use an entry host's peer address as a seed."""

    id: Name
    zone: Name
    address: OptionalAddress = ""

    def host(self) -> Host:
        """Return the host that the body describes."""
        return Host(self.id, self.zone, address=self.address)


class ProfileView(msgspec.Struct, frozen=True):
    """A profile as it is active at the host that answers.

    ``zones`` holds the active versions in each zone; it is empty where they were
    not queried.
    """

    name: str
    model: str
    kind: TargetKind
    priority: str
    deadline_s: float
    idempotent: bool
    version: int
    retired: bool
    zones: tuple[ProfileInZone, ...] = ()

    @classmethod
    def from_profile(
        cls, profile: Profile, zones: tuple[ProfileInZone, ...] = ()
    ) -> "ProfileView":
        """Return the view of a profile."""
        return cls(
            profile.name,
            profile.model,
            profile.kind,
            profile.priority.name.lower(),
            profile.deadline_s,
            profile.idempotent,
            profile.version,
            profile.retired,
            zones,
        )


class ProfileList(msgspec.Struct, frozen=True):
    """All profiles that the host has, including retired ones."""

    profiles: tuple[ProfileView, ...]


class TargetList(msgspec.Struct, frozen=True):
    """All targets, with the state that the host acts on."""

    targets: tuple[Target, ...]


class Explanation(msgspec.Struct, frozen=True):
    """The decisions of one host about a request."""

    host: str
    record: RequestRecord
