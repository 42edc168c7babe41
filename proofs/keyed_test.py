"""Stateful fuzzing of idempotency keys over several entry hosts."""

import pytest
from hypothesis.stateful import run_state_machine_as_test

from proofs._keyed_machine import KeyedMachine
from proofs._keyed_mutations import KEYED_MUTATIONS
from proofs._profiles import ci_profile

EXAMPLES = 60
# A mutated run ends at its first failure; see `proofs/serving_test.py`.
MUTATION_EXAMPLES = 400


def test_no_key_runs_twice_whatever_host_its_copies_reach():
    run_state_machine_as_test(KeyedMachine, settings=ci_profile(EXAMPLES))


@pytest.mark.parametrize("mutate", KEYED_MUTATIONS, ids=lambda m: m.__name__)
def test_mutation_is_caught(mutate, monkeypatch):
    """The fuzz run fails when the mutation removes a safeguard."""
    mutate(monkeypatch)
    with pytest.raises((AssertionError, BaseExceptionGroup)):
        run_state_machine_as_test(KeyedMachine, settings=ci_profile(MUTATION_EXAMPLES))
