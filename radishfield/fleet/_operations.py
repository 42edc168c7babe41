"""The actions of operators, behind the operator endpoint and command line."""

from collections.abc import Sequence
from typing import Protocol

from expression import Result

from radishfield.core import Fault, Host, Profile, Target
from radishfield.fleet._status import Drain, DrainKind, FleetStatus


class FleetOperations(Protocol):
    """What an operator can do at any entry host."""

    async def publish_profile(self, profile: Profile) -> Result[Profile, Fault]:
        """Publish a profile under a new name; the result carries its version.

        ``CHANGE_CONFLICT``: the name is taken; the detail says by what.
        ``PROFILE_RETIRED``: the name was retired and stays so.
        ``CHANGE_AMBIGUOUS``: the platform could not say whether it landed.
        ``CHANGE_INVALID``: a field is out of range.
        """

    async def change_profile(
        self, profile: Profile, expected_version: int | None = None
    ) -> Result[Profile, Fault]:
        """Replace a profile; ``expected_version`` is what the operator saw.

        ``CHANGE_CONFLICT`` tells what won in the meantime.
        """

    async def retire_profile(
        self, name: str, expected_version: int | None = None
    ) -> Result[Profile, Fault]:
        """Retire a profile for good; it stays as a tombstone."""

    def list_profiles(self) -> Sequence[Profile]:
        """Return every profile in force here, and the retired ones."""

    def show_profile(self, name: str) -> Result[Profile, Fault]:
        """Return one profile as it is in force here, also a retired one."""

    async def drain(self, kind: DrainKind, id: str) -> Result[Drain, Fault]:
        """Give a target, a host's targets or a zone's targets no new work."""

    async def undrain(self, kind: DrainKind, id: str) -> Result[Drain, Fault]:
        """Take a drain back."""

    async def add_target(self, target: Target) -> Result[Target, Fault]:
        """Add or replace a target's entry."""

    async def add_host(self, host: Host) -> Result[Host, Fault]:
        """Add a host; an entry host's address serves others as a seed."""

    async def status(self) -> Result[FleetStatus, Fault]:
        """Return what this host knows, asking live hosts for their versions."""
