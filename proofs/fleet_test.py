"""Stateful fuzzing of profiles over entry hosts in three zones."""

import pytest
from hypothesis.stateful import run_state_machine_as_test

from proofs._fleet_machine import FleetMachine
from proofs._fleet_mutations import FLEET_MUTATIONS
from proofs._profiles import ci_profile

EXAMPLES = 10
# A mutated run ends at its first failure; see `proofs/serving_test.py`.
MUTATION_EXAMPLES = 60


def test_changes_reach_every_connected_zone_and_never_revert():
    run_state_machine_as_test(FleetMachine, settings=ci_profile(EXAMPLES))


@pytest.mark.parametrize("mutate", FLEET_MUTATIONS, ids=lambda m: m.__name__)
def test_mutation_is_caught(mutate, monkeypatch):
    """The fuzz run fails when the mutation removes a safeguard."""
    mutate(monkeypatch)
    with pytest.raises((AssertionError, BaseExceptionGroup)):
        run_state_machine_as_test(FleetMachine, settings=ci_profile(MUTATION_EXAMPLES))
