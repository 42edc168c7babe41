"""Order, fairness and bounded memory of the queue."""

from radishfield.core import Priority
from radishfield.decisions._queues import (
    MAX_IDLE_WORKSPACES,
    Entry,
    Lane,
    WorkQueue,
    lane_for,
)


def push_work(queue, work, cost=50.0, latest_start=90.0):
    queue.push(Entry(work, cost, latest_start, lane_for(cost)))


def drain(queue):
    """Empty a queue as the scheduler does."""
    order = []
    for priority in Priority:
        while heads := queue.heads(priority):
            queue.pop(heads[0])
            order.append(heads[0].work)
    return order


def test_workspaces_with_most_of_the_load_do_not_delay_the_others(make_work):
    """Ninety requests of one workspace wait, then two of another arrive.

    The later workspace gets every second turn instead of the ninety-first.
    """
    queue = WorkQueue()
    for index in range(90):
        push_work(queue, make_work(f"heavy-{index}", workspace="heavy"))
    for index in range(2):
        push_work(queue, make_work(f"light-{index}", workspace="light"))
    order = [work.workspace for work in drain(queue)]
    assert [i for i, name in enumerate(order) if name == "light"][-1] <= 4


def test_short_work_overtakes_long_work_without_starving_it(make_work):
    """A burst of long work waits when short work arrives; both lanes progress."""
    queue = WorkQueue()
    for index in range(10):
        push_work(queue, make_work(f"long-{index}"), cost=1000.0)
    for index in range(200):
        push_work(queue, make_work(f"short-{index}"), cost=50.0)
    order = [work.request_id for work in drain(queue)]
    last_short = max(i for i, name in enumerate(order) if name.startswith("short"))
    assert last_short <= 200 + 4
    assert any(name.startswith("long") for name in order[:100])


def test_higher_priority_goes_first_and_earlier_deadline_within_a_workspace(make_work):
    queue = WorkQueue()
    push_work(queue, make_work("late", deadline=80.0))
    push_work(queue, make_work("soon", deadline=40.0))
    push_work(queue, make_work("urgent", priority=Priority.URGENT))
    assert [work.request_id for work in drain(queue)] == ["urgent", "soon", "late"]


def test_entry_leaves_once_by_withdrawal_expiry_or_dispatch(make_work):
    queue = WorkQueue()
    for name in ("one", "two", "three"):
        push_work(queue, make_work(name), latest_start=10.0 if name == "two" else 50.0)
    assert queue.withdraw("one") is not None
    assert queue.withdraw("one") is None
    assert [entry.work.request_id for entry in queue.expire(10.0)] == ["two"]
    assert queue.withdraw("two") is None
    assert [work.request_id for work in drain(queue)] == ["three"]
    assert queue.withdraw("three") is None
    assert queue.backlog() == 0 and queue.next_expiry() is None


def test_new_work_waits_only_for_its_fair_share_of_the_backlog(make_work):
    queue = WorkQueue()
    for index in range(100):
        push_work(queue, make_work(f"heavy-{index}", workspace="heavy"))
    heavy, light = make_work("x", workspace="heavy"), make_work("y", workspace="light")
    assert queue.ahead_of(light, 50.0, Lane.SHORT) <= 100
    assert queue.ahead_of(heavy, 50.0, Lane.SHORT) >= 5000
    push_work(queue, light)
    assert queue.over_share(heavy) and not queue.over_share(light)


def test_memory_does_not_grow_with_idle_workspaces(make_work):
    queue = WorkQueue()
    for index in range(3 * MAX_IDLE_WORKSPACES):
        push_work(queue, make_work(f"r{index}", workspace=f"w{index}"))
    assert len(drain(queue)) == 3 * MAX_IDLE_WORKSPACES
    lane = queue._queues[Priority.NORMAL][Lane.SHORT]
    assert len(lane._tag_by_workspace) <= MAX_IDLE_WORKSPACES + 1
    assert not lane._entries_by_workspace and not lane._order
