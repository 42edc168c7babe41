"""Stateful fuzzing of the dispatcher and its scheduler."""

import pytest
from hypothesis.stateful import run_state_machine_as_test

from proofs._machine import ServingMachine
from proofs._profiles import ci_profile
from proofs._serving_mutations import SERVING_MUTATIONS

EXAMPLES = 60
# A mutated run ends at its first failure, so many examples cost little.  With few
# examples, details of the decisions would determine whether a mutation is caught.
MUTATION_EXAMPLES = 400


def test_guarantees_hold_while_targets_fail_in_every_way():
    run_state_machine_as_test(ServingMachine, settings=ci_profile(EXAMPLES))


@pytest.mark.parametrize("mutate", SERVING_MUTATIONS, ids=lambda m: m.__name__)
def test_mutation_is_caught(mutate, monkeypatch):
    """The fuzz run fails when the mutation removes a safeguard."""
    mutate(monkeypatch)
    with pytest.raises((AssertionError, BaseExceptionGroup)):
        run_state_machine_as_test(
            ServingMachine, settings=ci_profile(MUTATION_EXAMPLES)
        )
