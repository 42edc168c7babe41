"""Converts work at targets and use of links to and from their message form."""

from collections.abc import Mapping

from radishfield.forwarding._peer_messages import LinkShare, Work
from radishfield.routing import Pair, TargetLoad, pair_of


def encode_work(load_by_id: Mapping[str, TargetLoad]) -> list[Work]:
    """Return the work at each target as messages hold it."""
    return [
        Work(target_id, load.requests, int(load.token_layers), load.as_first)
        for target_id, load in load_by_id.items()
    ]


def encode_link_shares(share_by_pair: Mapping[Pair, float]) -> list[LinkShare]:
    """Return the use of each link as messages hold it."""
    return [
        LinkShare(zone, other, round(share, 3))
        for (zone, other), share in share_by_pair.items()
    ]


def decode_link_shares(links: list[LinkShare]) -> dict[Pair, float]:
    """Return the use of each link from a message."""
    return {pair_of(item.zone, item.other): item.share for item in links}


def decode_work(work: list[Work]) -> dict[str, TargetLoad]:
    """Return the work at each target from a message."""
    return {
        item.target_id: TargetLoad(item.requests, item.token_layers, item.as_first)
        for item in work
    }
