"""Runs the long fuzz profile: ``python -m proofs --minutes 10 --seed 7``.

The state machines run in turn, each round under a new seed derived from the
first one, until the time is over.  The summary lists the examples, the checked
steps and the injected faults.  A failure is shrunk, printed with its seed, and
ends the run with status 1.
"""

import sys
import time
import traceback
from collections import Counter

import click
from hypothesis import seed as seeded
from hypothesis.stateful import run_state_machine_as_test

from proofs._fleet_machine import FleetMachine
from proofs._keyed_machine import KeyedMachine
from proofs._leases_machine import LeaseMachine
from proofs._machine import ServingMachine
from proofs._profiles import long_profile

# Examples of one round: each machine runs for about 15 s.
EXAMPLES_BY_MACHINE = {
    ServingMachine: 50,
    KeyedMachine: 50,
    FleetMachine: 10,
    LeaseMachine: 50,
}


@click.command()
@click.option("--minutes", type=float, envvar="FUZZ_MINUTES", default=10.0)
@click.option("--seed", type=int, envvar="FUZZ_SEED", default=1)
@click.option("--machine", "names", multiple=True, help="Only these; all if none.")
def main(minutes: float, seed: int, names: tuple[str, ...]) -> None:
    """Run rounds of the machines until the time is over."""
    selected = {
        machine: count
        for machine, count in EXAMPLES_BY_MACHINE.items()
        if not names or machine.__name__ in names
    }
    ends_at = time.monotonic() + minutes * 60
    examples: Counter[str] = Counter()
    failed = False
    round_number = 0
    while time.monotonic() < ends_at and not failed:
        for machine, count in selected.items():
            if time.monotonic() >= ends_at:
                break
            failed = not _run(machine, count, seed + round_number)
            if failed:
                break
            examples[machine.__name__] += count
        round_number += 1
    _report(selected, examples, seed, round_number)
    sys.exit(1 if failed else 0)


def _run(machine, count: int, seed: int) -> bool:
    """Run one machine; print the failure and return False if an invariant fails."""
    started_at = time.monotonic()
    try:
        run_state_machine_as_test(seeded(seed)(machine), settings=long_profile(count))
    except Exception:
        traceback.print_exc()
        click.echo(f"{machine.__name__}: FAILED with FUZZ_SEED={seed}")
        return False
    elapsed_s = time.monotonic() - started_at
    click.echo(f"{machine.__name__}: {count} examples, seed {seed}, {elapsed_s:.0f} s")
    return True


def _report(selected, examples: Counter[str], seed: int, rounds: int) -> None:
    click.echo(f"\nseeds {seed} to {seed + rounds - 1}")
    for machine in selected:
        faults = sum(machine.faults_by_kind.values())
        click.echo(
            f"{machine.__name__}: {examples[machine.__name__]} examples, "
            f"{machine.steps} checked steps, {faults} faults"
        )
        for kind, count in sorted(machine.faults_by_kind.items()):
            click.echo(f"    {kind}: {count}")


if __name__ == "__main__":
    main()
