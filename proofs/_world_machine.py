"""What every state machine of the proofs does: check, end, and count its faults."""

from typing import Protocol

from hypothesis.stateful import RuleBasedStateMachine, invariant

from proofs._loop import Loop


class World(Protocol):
    """What a machine plays in: the real services over fakes, in virtual time."""

    loop: Loop

    def check(self) -> None:
        """Check each promise that holds at any moment."""

    def check_end(self) -> None:
        """End all faults, and check that everything has ended."""


class WorldMachine(RuleBasedStateMachine):
    """Plays rules in a world, and checks it after each of them.

    Attributes
    ----------
    faults_by_kind : dict of str to int
        How often each kind was played, over all runs of the subclass.
    steps : int
        Checks over all runs of the subclass.
    """

    faults_by_kind: dict[str, int] = {}
    steps = 0

    def __init_subclass__(cls, **arguments):
        super().__init_subclass__(**arguments)
        cls.faults_by_kind = {}

    def __init__(self):
        super().__init__()
        self.world: World | None = None

    @invariant()
    def holds(self):
        """Check each promise that holds at any moment."""
        if self.world is not None:
            type(self).steps += 1
            self.world.check()

    def teardown(self):
        """Check what holds after all faults have ended."""
        if self.world is None or self.world.loop.has_crashed:
            return
        try:
            self.world.check_end()
        finally:
            self.world.loop.close()

    def count(self, kind: str) -> None:
        """Count a fault that is played."""
        self.faults_by_kind[kind] = self.faults_by_kind.get(kind, 0) + 1
