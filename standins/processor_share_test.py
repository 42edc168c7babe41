"""Tests the turns of processes that are held to a share of a processor."""

import pytest

from standins.processor_share import is_over


@pytest.mark.parametrize(
    ("elapsed_s", "left_s", "waits", "over"),
    [
        (0.005, 0.004, False, False),
        (0.006, 0.004, False, True),
        (0.005, 0.0, True, True),
        (0.006, 0.004, True, False),
        (0.030, 0.001, True, False),
    ],
)
def test_turn_lasts_until_a_process_that_waits_has_had_it(
    elapsed_s, left_s, waits, over
):
    """Guards against hosts that get less on a busy machine than their scene says."""
    assert is_over(elapsed_s, 0.006, left_s, waits) is over
