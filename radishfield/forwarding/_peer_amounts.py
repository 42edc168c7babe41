"""Work and links between what hosts know of them and what they tell."""

from collections.abc import Mapping

from radishfield.forwarding._peer_messages import LinkShare, Work
from radishfield.routing import Pair, TargetLoad, pair_of


def work_of(held_by_id: Mapping[str, TargetLoad]) -> list[Work]:
    """Return the work at each target as it is told."""
    return [
        Work(target_id, held.requests, int(held.token_layers), held.as_first)
        for target_id, held in held_by_id.items()
    ]


def link_shares_of(share_by_pair: Mapping[Pair, float]) -> list[LinkShare]:
    """Return the use of each link as it is told."""
    return [
        LinkShare(zone, other, round(share, 3))
        for (zone, other), share in share_by_pair.items()
    ]


def share_by_pair(links: list[LinkShare]) -> dict[Pair, float]:
    """Return the use of each link as it was told."""
    return {pair_of(item.zone, item.other): item.share for item in links}


def held_by_id(work: list[Work]) -> dict[str, TargetLoad]:
    """Return the work at each target as it was told."""
    return {
        item.target_id: TargetLoad(item.requests, item.token_layers, item.as_first)
        for item in work
    }
