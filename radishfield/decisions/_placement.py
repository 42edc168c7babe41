"""Which target should hold which layers, and when a change pays for itself.

Load pattern: accelerators of different speeds are added, lost or slowed, and
one range of layers becomes the bottleneck while targets of another stand half
idle.  Left alone, the fleet stays at that bound.  Moved too eagerly, targets
spend their time loading weights from a rate-limited store, and a range may lose
its last replica, which stops the model altogether.

The search is greedy: try each move of one target to a range that is held
elsewhere, keep the one that raises the maximum flow most for its load time, and
go on from there.  A move is proposed only if the tokens that it gains within
`PAYBACK_S` exceed `GAIN_OVER_COST` times the tokens lost while it loads.  The
holder of the fleet's lease sends the orders, one at a time.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from radishfield.core import LayerRange, Link, Target, TargetKind, TargetState
from radishfield.decisions._flow import plan_flow, speed_of

PAYBACK_S = 600.0
"""Ten minutes: shorter than a wave of load, longer than any load of weights."""

GAIN_OVER_COST = 2.0
"""Gain over loss, for speeds that are declared wrong by up to a half."""

MIN_GAIN = 0.02
"""Part of the bound under which a gain is lost in the noise of the figures."""

MAX_MOVES = 3
"""Moves proposed at a time: the store is rate-limited, and each move changes
the flow that the next one is judged by."""

MAX_TRIALS = 400
"""Flows solved at most in one call: a few seconds for a zone of 65 targets."""


@dataclass(slots=True, frozen=True)
class Move:
    """A proposed order: a target is to hold other layers.

    Attributes
    ----------
    gain_tps : float
        Tokens per second that the bound rises by.
    load_s : float
        Seconds for which the target passes nothing.
    """

    target_id: str
    layers: LayerRange
    gain_tps: float
    load_s: float
    reason: str


@dataclass(slots=True, frozen=True)
class Store:
    """The store of weights: layers per second that one load may read."""

    layers_per_s: float
    concurrent_loads: int = 1


def propose_moves(
    targets: Sequence[Target],
    links: Sequence[Link],
    zone: str,
    store: Store,
    loading: int = 0,
) -> list[Move]:
    """Return the moves that pay, the best one first.

    Parameters
    ----------
    targets : sequence of Target
        Targets of one model version.
    loading : int
        Loads under way; together with the moves they stay in the store's limit.
    """
    present = [
        t
        for t in targets
        if t.kind is TargetKind.ENGINE and t.state is TargetState.LIVE
    ]
    room = min(MAX_MOVES, store.concurrent_loads - loading)
    moves: list[Move] = []
    trials = MAX_TRIALS
    while len(moves) < room and trials > 0:
        moved = {move.target_id for move in moves}
        best, used = _best_move(present, links, zone, store, moved, trials)
        trials -= used
        if best is None:
            break
        moves.append(best)
        present = [_apply(target, best) for target in present]
    return moves


def is_last_replica(targets: Sequence[Target], leaving: Target) -> bool:
    """Tell whether some layer would be held by no live target without this one."""
    held = [
        t.layers
        for t in targets
        if t.id != leaving.id
        and t.state is TargetState.LIVE
        and t.model == leaving.model
        and t.model_version == leaving.model_version
    ]
    return any(
        not any(layers.first <= layer < layers.end for layers in held)
        for layer in range(leaving.layers.first, leaving.layers.end)
    )


def _best_move(
    targets: Sequence[Target],
    links: Sequence[Link],
    zone: str,
    store: Store,
    moved: set[str],
    trials: int,
) -> tuple[Move | None, int]:
    bound = plan_flow(targets, links, zone, {}).bound_tps
    ranges = sorted({target.layers for target in targets})
    best: Move | None = None
    used = 0
    for target in _by_kind(targets):
        if target.id in moved or is_last_replica(targets, target):
            continue
        for layers in ranges:
            if layers == target.layers or used >= trials:
                continue
            used += 1
            move = _judge(targets, links, zone, store, bound, target, layers)
            if move is not None and (best is None or _worth(move) > _worth(best)):
                best = move
    return best, used


def _judge(
    targets: Sequence[Target],
    links: Sequence[Link],
    zone: str,
    store: Store,
    bound: float,
    target: Target,
    layers: LayerRange,
) -> Move | None:
    after = [_holding(t, layers) if t.id == target.id else t for t in targets]
    without = [t for t in targets if t.id != target.id]
    gain = plan_flow(after, links, zone, {}).bound_tps - bound
    if gain < MIN_GAIN * bound or gain <= 0:
        return None
    load_s = (layers.end - layers.first) / store.layers_per_s
    lost_tps = bound - plan_flow(without, links, zone, {}).bound_tps
    gained = gain * (PAYBACK_S - load_s)
    if gained < GAIN_OVER_COST * lost_tps * load_s:
        return None
    reason = f"bound {bound:.0f} to {bound + gain:.0f} tokens/s, loads {load_s:.0f} s"
    return Move(target.id, layers, gain, load_s, reason)


def _by_kind(targets: Sequence[Target]) -> list[Target]:
    """Return one target for each zone, range and speed: others gain the same."""
    kinds = {(t.zone, t.layers, speed_of(t)): t for t in targets}
    return list(kinds.values())


def _worth(move: Move) -> float:
    return move.gain_tps / (1.0 + move.load_s / PAYBACK_S)


def _apply(target: Target, move: Move) -> Target:
    if target.id != move.target_id:
        return target
    return _holding(target, move.layers)


def _holding(target: Target, layers: LayerRange) -> Target:
    """Return the target with other layers; more of them take longer a token."""
    before = target.layers.end - target.layers.first
    after = layers.end - layers.first
    return replace(target, layers=layers, speed_tps=speed_of(target) * before / after)
