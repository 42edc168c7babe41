"""Tests the account of what callers' bytes take."""

import random

import pytest

from radishfield.limits import (
    CALL_BYTES,
    CONNECTION_BYTES,
    AccountLimits,
    CallerAccount,
    Phase,
)
from radishfield.limits._account import HEAD_FACTOR

MIB = 1 << 20
ROOM = 16 * MIB


class Owner:
    """A connection that records what is asked of it."""

    def __init__(self):
        self.was_cut = False
        self.refused = False

    def cut(self):
        self.was_cut = True

    def refuse_body(self):
        self.refused = True


def open_account(connections=100):
    return CallerAccount(AccountLimits(ROOM, connections))


def open_body(account, size, now=0.0, received=0):
    """Return a connection that sends a body, and whether it was admitted."""
    holding = account.open(Owner(), now)
    account.begin(holding, Phase.BODY, now)
    admitted = account.admit(holding, size, now)
    holding.received = received
    return holding, admitted


def test_announced_bodies_are_refused_once_the_room_is_used_up():
    """Guards against a process that admits what it can't hold."""
    account = open_account()
    admitted = [open_body(account, MIB)[1] for _ in range(40)]
    assert admitted == [True] * 10 + [False] * 30
    assert account.used_bytes <= ROOM


def test_small_body_is_admitted_beside_large_ones_that_took_their_share():
    """Guards against large bodies that keep ordinary callers out."""
    account = open_account()
    while open_body(account, MIB)[1]:
        pass
    assert all(open_body(account, 4000)[1] for _ in range(20))


def fill_up(account, phase):
    """Use up the room with large bodies and idle connections; return the bodies."""
    bodies = []
    while not bodies or bodies[-1].body_bytes:
        bodies.append(open_body(account, MIB)[0])
    account.close(bodies.pop())
    for holding in bodies:
        account.begin(holding, phase, 0.0)
        holding.received = MIB // 2
    while account.used_bytes + CONNECTION_BYTES <= ROOM:
        account.open(Owner(), 0.0)
    account.note_head(bodies[0], (ROOM - account.used_bytes) // HEAD_FACTOR)
    return bodies


@pytest.mark.parametrize("now", [0.1, 2.0])
def test_slowest_large_body_gives_way_to_a_small_one(now):
    """Guards against ordinary callers for whom connections leave no room."""
    account = open_account(connections=1000)
    first, *others = fill_up(account, Phase.BODY)
    first.received = 0
    caller = list(account._holdings)[-1]
    account.begin(caller, Phase.BODY, 0.1)
    assert account.admit(caller, 300, now)
    assert first.owner.refused and first.phase is Phase.CLOSING
    assert not any(holding.owner.refused for holding in others)


def test_idle_connection_gives_way_to_a_small_body_beside_calls():
    """Guards against ordinary callers who find the room used up by calls."""
    account = open_account(connections=1000)
    calls = fill_up(account, Phase.CALL)
    caller, *idle = [
        holding for holding in account._holdings if holding.phase is Phase.IDLE
    ]
    account.begin(caller, Phase.BODY, 0.0)
    assert not account.admit(caller, 300, 0.5)
    assert account.admit(caller, 300, 2.0)
    assert [holding.owner.was_cut for holding in idle].count(True) == 1
    assert not any(holding.owner.refused for holding in calls)
    assert not any(holding.owner.was_cut for holding in calls)


def test_small_bodies_do_not_give_way_to_each_other():
    """Guards against a crowd of small bodies that keeps pushing out earlier ones."""
    account = CallerAccount(AccountLimits(MIB, 1000))
    small = []
    while not small or small[-1].body_bytes:
        small.append(open_body(account, 16_000, 0.0)[0])
    assert not account.admit(small[-1], 16_000, 5.0)
    assert not any(holding.owner.refused for holding in small)


def test_answers_that_are_held_leave_room_for_new_callers():
    """Guards against callers that are closed unread while targets send too much."""
    account = open_account(connections=1000)
    for _ in range(4):
        call = account.open(Owner(), 0.0)
        account.begin(call, Phase.CALL, 0.0)
        while account.hold_answer(call, 16_000, 0.0):
            pass
    assert all(open_body(account, 300)[1] for _ in range(10))
    assert account.given_way == 0


def test_large_bodies_leave_room_for_new_callers():
    """Guards against callers that are cut for bodies beside many connections."""
    account = open_account(connections=1000)
    for _ in range(150):
        account.open(Owner(), 0.0)
    while open_body(account, MIB)[1]:
        pass
    assert all(open_body(account, 300)[1] for _ in range(10))
    assert account.given_way == 0


def test_body_that_is_larger_than_its_share_is_admitted_alone():
    account = open_account()
    assert open_body(account, 13 * MIB)[1]
    assert not open_body(account, MIB)[1]


def test_body_that_stopped_short_gives_way_and_one_that_moves_does_not():
    """Guards against callers that hold room which they don't use."""
    account = open_account()
    moving = [open_body(account, MIB, received=MIB // 2)[0] for _ in range(9)]
    stalled, _ = open_body(account, MIB, received=1000)
    assert not open_body(account, MIB, now=0.5)[1]
    assert open_body(account, MIB, now=2.0)[1]
    assert stalled.owner.refused and stalled.phase is Phase.CLOSING
    assert not any(holding.owner.refused for holding in moving)


def test_small_bodies_do_not_give_way_to_a_large_one():
    """Guards against slow ordinary callers that are refused for little room."""
    account = open_account()
    small = [open_body(account, 300)[0] for _ in range(20)]
    while open_body(account, MIB, now=1.0, received=MIB)[1]:
        pass
    open_body(account, MIB, now=1.5)
    assert not any(holding.owner.refused for holding in small)


def test_body_of_a_call_never_gives_way():
    """Guards against a call that is dropped though it may be running."""
    account = open_account()
    calls = []
    for _ in range(10):
        holding, _ = open_body(account, MIB)
        account.begin(holding, Phase.CALL, 0.0)
        calls.append(holding)
    assert not open_body(account, MIB, now=60.0)[1]
    assert not any(holding.owner.refused for holding in calls)


def test_answer_that_is_not_read_gives_way_to_one_that_is_asked_for():
    """Guards against memory that callers hold who don't read."""
    account = open_account()
    unread, reading, new = (account.open(Owner(), 0.0) for _ in range(3))
    for holding in (unread, reading):
        account.begin(holding, Phase.CALL, 0.0)
        assert account.hold_answer(holding, 7 * MIB, 0.0)
    unread.sends_since = 1.0
    reading.sends_since = 4.0
    assert not account.hold_answer(new, 7 * MIB, 2.0)
    assert account.hold_answer(new, 7 * MIB, 5.0)
    assert unread.owner.was_cut and not reading.owner.was_cut


def test_answer_is_charged_until_its_connection_is_idle():
    account = open_account()
    holding = account.open(Owner(), 0.0)
    account.begin(holding, Phase.CALL, 0.0)
    assert account.hold_answer(holding, MIB, 0.0)
    assert account.used_bytes == CONNECTION_BYTES + CALL_BYTES + MIB
    account.begin(holding, Phase.IDLE, 1.0)
    assert account.used_bytes == CONNECTION_BYTES


def test_unfinished_heads_take_room_from_others():
    """Guards against heads that are held and not counted."""
    account = open_account()
    sender, other = account.open(Owner(), 0.0), account.open(Owner(), 0.0)
    account.begin(sender, Phase.HEAD, 0.0)
    account.note_head(sender, 8 * MIB)
    account.begin(other, Phase.BODY, 0.0)
    assert account.used_bytes == 2 * CONNECTION_BYTES + HEAD_FACTOR * 8 * MIB
    assert not account.admit(other, 300, 0.0)
    account.begin(sender, Phase.IDLE, 1.0)
    assert account.admit(other, 300, 1.0)


def test_refused_body_leaves_its_room_to_the_others_at_once():
    """Guards against bodies of unknown length that all refuse each other."""
    account = open_account()
    growing = [open_body(account, MIB // 2)[0] for _ in range(20)]
    outcomes = [account.admit(holding, MIB, 0.1) for holding in growing]
    assert outcomes.count(True) == 10


def test_connection_beyond_the_limit_takes_the_place_of_the_most_dispensable():
    """Guards against ordinary callers that find no connection, and calls cut off."""
    account = open_account(connections=4)
    call, body, idle, closing = (account.open(Owner(), 0.0) for _ in range(4))
    account.begin(call, Phase.CALL, 0.0)
    account.begin(body, Phase.BODY, 0.0)
    account.end_request(closing)
    for victim in (closing, idle, body):
        newcomer = account.open(Owner(), 1.0)
        account.begin(newcomer, Phase.CALL, 1.0)
        assert victim.owner.was_cut, victim.phase
    assert account.open(Owner(), 2.0) is None
    assert not call.owner.was_cut
    assert account.connections == 4


def test_caller_that_has_just_connected_does_not_give_way_to_a_large_body():
    """Guards against ordinary callers that are cut by a crowd that comes and goes."""
    account = open_account(connections=4)
    large, _ = open_body(account, MIB, now=5.0, received=MIB // 2)
    small, _ = open_body(account, 300, now=5.0)
    new = account.open(Owner(), 5.0)
    call = account.open(Owner(), 5.0)
    account.begin(call, Phase.CALL, 5.0)
    assert account.open(Owner(), 5.1) is not None
    assert large.owner.was_cut
    assert not small.owner.was_cut and not new.owner.was_cut


def test_connection_that_has_been_idle_for_longest_gives_way_first():
    account = open_account(connections=3)
    first, second, third = (account.open(Owner(), float(at)) for at in range(3))
    account.begin(first, Phase.IDLE, 5.0)
    account.open(Owner(), 6.0)
    assert [item.owner.was_cut for item in (first, second, third)] == [
        False,
        True,
        False,
    ]


@pytest.mark.parametrize("seed", range(20))
def test_account_is_the_sum_of_what_is_held(seed):
    """Guards against room that is lost, or given out twice, over many requests."""
    rng = random.Random(seed)
    account = open_account(connections=12)
    held = []
    for step in range(400):
        now = step * 0.3
        holding = rng.choice(held) if held else None
        match rng.randrange(8):
            case 0 | 1:
                opened = account.open(Owner(), now)
                held += [opened] if opened else []
            case 2 if holding:
                account.begin(holding, rng.choice(list(Phase)[:4]), now)
            case 3 if holding:
                account.note_head(holding, rng.randrange(9000))
            case 4 | 5 if holding:
                account.admit(holding, rng.choice([100, 9000, 70_000, 5 * MIB]), now)
            case 6 if holding:
                account.close(holding)
            case 7 if holding:
                account.hold_answer(holding, rng.choice([40_000, 3 * MIB]), now)
                holding.sends_since = rng.choice([None, now])
        held = [
            item
            for item in held
            if not item.owner.was_cut and item in account._holdings
        ]
        assert account.used_bytes == sum(item.charge for item in account._holdings)
        assert all(item.charge >= CONNECTION_BYTES for item in account._holdings)
        assert 0 <= account.large_bytes <= account.used_bytes
    for holding in list(account._holdings):
        account.close(holding)
    assert (account.used_bytes, account.large_bytes) == (0, 0)


@pytest.mark.parametrize(
    ("memory_mib", "open_files", "room_mib", "connections"),
    [
        (128, 400, 42, 100),
        (200, 4100, 96, 1278),
        (300, 4100, 168, 1278),
        (64, 20, 8, 16),
    ],
)
def test_limits_follow_from_memory_and_descriptors(
    memory_mib, open_files, room_mib, connections
):
    limits = AccountLimits.from_resources(memory_mib * MIB, open_files)
    assert limits.room_bytes // MIB == room_mib
    assert limits.max_connections == connections


def test_connections_with_tls_take_more_of_the_room():
    """Guards against TLS that takes what is left for bodies."""
    counts = []
    for with_tls in (False, True):
        account = CallerAccount(AccountLimits(ROOM, 10_000), with_tls)
        counts.append(0)
        while account.used_bytes + CONNECTION_BYTES + MIB < ROOM:
            holding = account.open(Owner(), 0.0)
            account.begin(holding, Phase.IDLE, 0.0)
            counts[-1] += 1
    plain, secured = counts
    assert secured < 0.7 * plain


def test_process_with_tls_keeps_more_for_itself():
    """Guards against closed connections that the collector has not found yet."""
    plain = AccountLimits.from_resources(300 << 20, 4100)
    secured = AccountLimits.from_resources(300 << 20, 4100, with_tls=True)
    assert secured.room_bytes < plain.room_bytes
    assert secured.max_connections == plain.max_connections
