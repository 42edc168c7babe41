"""Prefix affinity with cache events that arrive late and with gaps."""

from radishfield.core import CacheEvent
from radishfield.decisions._affinity import MAX_PREFIXES, TTL_S, PrefixIndex


def test_a_dropped_prefix_is_no_longer_preferred():
    index = PrefixIndex()
    index.observe(CacheEvent("t", 1, "p", True), 0.0)
    index.observe(CacheEvent("t", 2, "p", False), 1.0)
    assert index.holders("p", 1.0) == []


def test_entries_from_before_a_gap_in_the_events_are_ignored():
    """Event 2 is lost; it may have reported that the prefix was dropped."""
    index = PrefixIndex()
    index.observe(CacheEvent("t", 1, "p", True), 0.0)
    index.observe(CacheEvent("t", 3, "q", True), 1.0)
    assert index.holders("p", 1.0) == []
    assert index.holders("q", 1.0) == ["t"]


def test_entries_expire_and_their_number_is_bounded():
    index = PrefixIndex()
    index.record_prefix_use("p", ["t"], 0.0)
    assert index.holders("p", TTL_S) == ["t"]
    assert index.holders("p", TTL_S + 1) == []
    for number in range(MAX_PREFIXES):
        index.record_prefix_use(f"p{number}", ["t"], 1.0)
    assert len(index._uses_by_prefix) == MAX_PREFIXES
