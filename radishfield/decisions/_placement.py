"""Choice of moves of targets to other layers, where a move pays for itself.

When accelerators of different speeds are added, lost or slowed, one range of
layers becomes the bottleneck while targets of another range are half idle.
Without moves, the fleet stays at that bound.  With too many moves, targets
spend their time loading weights from a rate-limited store, and a range may lose
its last replica, which stops the model altogether.

The search is greedy: it tries each move of one target to a range that is held
elsewhere, keeps the one that raises the maximum flow most for its load time,
and continues from there.  A move is proposed only if the tokens that it gains
within `PAYBACK_S` exceed `GAIN_OVER_COST` times the tokens lost while it loads.
The holder of the fleet's lease sends the orders, one at a time.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from radishfield.core import LayerRange, Link, Target, TargetKind, TargetState
from radishfield.decisions._flow import plan_flow, speed_of

PAYBACK_S = 600.0
"""Ten minutes: shorter than a wave of load, longer than any loading of weights."""

GAIN_OVER_COST = 2.0
"""Minimum gain over loss; it allows for declared speeds wrong by up to a half."""

MIN_GAIN = 0.02
"""Fraction of the bound below which a gain is lost in the noise of the figures."""

MAX_MOVES = 3
"""Moves proposed at a time.  The store is rate-limited, and each move changes
the flow by which the next one is judged."""

MAX_TRIALS = 400
"""Maximum moves tried in one call, a few seconds for a zone of 65 targets."""


@dataclass(slots=True, frozen=True)
class Move:
    """A proposed order for a target to hold other layers.

    Attributes
    ----------
    gain_tps : float
        Increase of the bound in tokens per second.
    load_s : float
        Seconds during which the target passes no tokens.
    """

    target_id: str
    layers: LayerRange
    gain_tps: float
    load_s: float
    reason: str


@dataclass(slots=True, frozen=True)
class WeightStore:
    """The store of weights; one load may read ``layers_per_s`` layers per second."""

    layers_per_s: float
    concurrent_loads: int = 1


def propose_moves(
    targets: Sequence[Target],
    links: Sequence[Link],
    zone: str,
    store: WeightStore,
    loading: int = 0,
) -> list[Move]:
    """Return the moves that pay for themselves, the best one first.

    Parameters
    ----------
    targets : sequence of Target
        Targets of one model version.
    loading : int
        Loads in progress.  Together with the moves they stay within the store's
        limit.
    """
    engines = [
        t
        for t in targets
        if t.kind is TargetKind.ENGINE and t.state is TargetState.LIVE
    ]
    move_limit = min(MAX_MOVES, store.concurrent_loads - loading)
    moves: list[Move] = []
    trials = MAX_TRIALS
    while len(moves) < move_limit and trials > 0:
        moved = {move.target_id for move in moves}
        best, used = _best_move(engines, links, zone, store, moved, trials)
        trials -= used
        if best is None:
            break
        moves.append(best)
        engines = [_apply(target, best) for target in engines]
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
    store: WeightStore,
    moved: set[str],
    trials: int,
) -> tuple[Move | None, int]:
    bound = plan_flow(targets, links, zone, {}).bound_tps
    ranges = sorted({target.layers for target in targets})
    best: Move | None = None
    used = 0
    for target in _distinct_targets(targets):
        if target.id in moved or is_last_replica(targets, target):
            continue
        for layers in ranges:
            if layers == target.layers or used >= trials:
                continue
            used += 1
            move = _evaluate(targets, links, zone, store, bound, target, layers)
            if move is not None and (best is None or _score(move) > _score(best)):
                best = move
    return best, used


def _evaluate(
    targets: Sequence[Target],
    links: Sequence[Link],
    zone: str,
    store: WeightStore,
    bound: float,
    target: Target,
    layers: LayerRange,
) -> Move | None:
    after = [_with_layers(t, layers) if t.id == target.id else t for t in targets]
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


def _distinct_targets(targets: Sequence[Target]) -> list[Target]:
    """Return one target for each zone, range and speed; others gain the same."""
    target_by_kind = {(t.zone, t.layers, speed_of(t)): t for t in targets}
    return list(target_by_kind.values())


def _score(move: Move) -> float:
    return move.gain_tps / (1.0 + move.load_s / PAYBACK_S)


def _apply(target: Target, move: Move) -> Target:
    if target.id != move.target_id:
        return target
    return _with_layers(target, move.layers)


def _with_layers(target: Target, layers: LayerRange) -> Target:
    """Return the target with other layers; the more it holds, the slower it is."""
    before = target.layers.end - target.layers.first
    after = layers.end - layers.first
    return replace(target, layers=layers, speed_tps=speed_of(target) * before / after)
