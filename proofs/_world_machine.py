"""The base of all state machines: checks invariants, ends runs, counts faults."""

from typing import Protocol

from hypothesis.stateful import RuleBasedStateMachine, invariant

from proofs._loop import Loop


class World(Protocol):
    """The real services over fakes, in virtual time, that a machine acts on."""

    loop: Loop

    def check(self) -> None:
        """Check each guarantee that holds at any moment."""

    def check_end(self) -> None:
        """End all faults, and check that everything has ended."""


class WorldMachine(RuleBasedStateMachine):
    """Runs rules in a world, and checks the world after each of them.

    Attributes
    ----------
    faults_by_kind : dict of str to int
        How often each kind of fault was injected, over all runs of the subclass.
    steps : int
        Number of checks over all runs of the subclass.
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
        """Check each guarantee that holds at any moment."""
        if self.world is not None:
            type(self).steps += 1
            self.world.check()

    def teardown(self):
        """Check the guarantees that hold after all faults have ended."""
        if self.world is None or self.world.loop.has_crashed:
            return
        try:
            self.world.check_end()
        finally:
            self.world.loop.close()

    def count(self, kind: str) -> None:
        """Count a fault that is injected."""
        self.faults_by_kind[kind] = self.faults_by_kind.get(kind, 0) + 1
