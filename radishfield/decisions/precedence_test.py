"""The priority that is sent to the engines."""

from radishfield.core import Priority
from radishfield.decisions._precedence import WorkspaceLoad, engine_priority
from radishfield.decisions._queues import Lane


def test_light_work_is_sent_with_higher_priority_and_long_work_with_lower():
    normal = Priority.NORMAL
    assert engine_priority(normal, Lane.SHORT, True) is Priority.HIGH
    assert engine_priority(normal, Lane.SHORT, False) is normal
    assert engine_priority(normal, Lane.LONG, False) is Priority.LOW
    assert engine_priority(Priority.URGENT, Lane.SHORT, True) is Priority.URGENT
    assert engine_priority(Priority.LOW, Lane.LONG, False) is Priority.LOW


def test_two_workspaces_with_most_of_the_load_leave_the_others_light():
    shares = WorkspaceLoad()
    for _ in range(45):
        shares.begin("heavy-1", 50.0)
        shares.begin("heavy-2", 50.0)
    for index in range(8):
        shares.begin(f"light-{index}", 50.0)
    assert shares.is_light("light-0", 50.0)
    assert not shares.is_light("heavy-1", 50.0)


def test_a_burst_of_a_new_workspace_is_light_only_at_its_start():
    """A workspace without work sends a hundred requests at once.

    If waiting work were not counted, all hundred would overtake the others' tokens.
    """
    shares = WorkspaceLoad()
    for index in range(10):
        for _ in range(5):
            shares.begin(f"w{index}", 50.0)
    light = []
    for _ in range(100):
        light.append(shares.is_light("new", 50.0))
        shares.begin("new", 50.0)
    assert light[0] and sum(light) <= 3


def test_idle_workspaces_take_no_memory():
    shares = WorkspaceLoad()
    for index in range(1000):
        shares.begin(f"w{index}", 50.0)
        shares.end(f"w{index}", 50.0)
    assert not shares._cost_by_workspace and not shares._count_by_workspace
