"""Which priority the engines are told."""

from radishfield.core import Priority
from radishfield.decisions._precedence import HeldShares, engine_priority
from radishfield.decisions._queues import Lane


def test_light_work_beside_heavy_work_is_told_higher_and_long_work_lower():
    normal = Priority.NORMAL
    assert engine_priority(normal, Lane.SHORT, True) is Priority.HIGH
    assert engine_priority(normal, Lane.SHORT, False) is normal
    assert engine_priority(normal, Lane.LONG, False) is Priority.LOW
    assert engine_priority(Priority.URGENT, Lane.SHORT, True) is Priority.URGENT
    assert engine_priority(Priority.LOW, Lane.LONG, False) is Priority.LOW


def test_two_workspaces_with_most_of_the_load_leave_the_others_light():
    shares = HeldShares()
    for _ in range(45):
        shares.begin("heavy-1", 50.0)
        shares.begin("heavy-2", 50.0)
    for index in range(8):
        shares.begin(f"light-{index}", 50.0)
    assert shares.is_light("light-0", 50.0)
    assert not shares.is_light("heavy-1", 50.0)


def test_a_burst_of_a_new_workspace_is_light_only_at_its_start():
    """A workspace that held nothing sends a hundred requests in one instant.

    Were waiting work not counted, all hundred would pass the others' tokens.
    """
    shares = HeldShares()
    for index in range(10):
        for _ in range(5):
            shares.begin(f"w{index}", 50.0)
    told = []
    for _ in range(100):
        told.append(shares.is_light("new", 50.0))
        shares.begin("new", 50.0)
    assert told[0] and sum(told) <= 3


def test_idle_workspaces_take_no_memory():
    shares = HeldShares()
    for index in range(1000):
        shares.begin(f"w{index}", 50.0)
        shares.end(f"w{index}", 50.0)
    assert not shares._cost_by_workspace and not shares._count_by_workspace
