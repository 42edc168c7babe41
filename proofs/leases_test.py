"""Stateful fuzzing of leases and of the orders sent under them."""

import pytest
from hypothesis.stateful import run_state_machine_as_test

from proofs._leases_machine import LeaseMachine
from proofs._leases_mutations import LEASE_MUTATIONS
from proofs._profiles import ci_profile

EXAMPLES = 40
# A mutated run ends at its first failure; see `proofs/serving_test.py`.
MUTATION_EXAMPLES = 400


def test_one_holder_and_no_old_order_after_a_new_one():
    run_state_machine_as_test(LeaseMachine, settings=ci_profile(EXAMPLES))


@pytest.mark.parametrize("mutate", LEASE_MUTATIONS, ids=lambda m: m.__name__)
def test_mutation_is_caught(mutate, monkeypatch):
    """The fuzz run fails when the mutation removes a safeguard."""
    mutate(monkeypatch)
    with pytest.raises((AssertionError, BaseExceptionGroup)):
        run_state_machine_as_test(LeaseMachine, settings=ci_profile(MUTATION_EXAMPLES))
