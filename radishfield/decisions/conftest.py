"""Fixtures shared by the tests of the scheduling decisions."""

from collections.abc import Callable

import pytest

from radishfield.core import LayerRange, Link, LoadReport, Target, TargetKind
from radishfield.decisions import Work


@pytest.fixture
def make_target() -> Callable[..., Target]:
    def build(name: str, first: int, end: int, **overrides) -> Target:
        defaults = {
            "host": f"host-{name}",
            "zone": "a",
            "address": "127.0.0.1:1",
            "model": "m",
            "layers": LayerRange(first, end),
            "model_layers": 20,
            "speed_tps": 100.0,
        }
        return Target(id=name, **(defaults | overrides))

    return build


@pytest.fixture
def make_work() -> Callable[..., Work]:
    def build(name: str, **overrides) -> Work:
        defaults = {
            "workspace": "w",
            "model": "m",
            "kind": TargetKind.ENGINE,
            "priority": 2,
            "arrived": 0.0,
            "deadline": 100.0,
            "max_tokens": 50,
        }
        return Work(name, **(defaults | overrides))

    return build


@pytest.fixture
def make_report() -> Callable[..., LoadReport]:
    def build(target: Target, in_flight: int, queued: int = 0, **extra_fields):
        return LoadReport(
            target.id,
            target.incarnation,
            target.layers,
            target.model,
            target.model_version,
            in_flight,
            queued,
            target.slots,
            0.08,
            **extra_fields,
        )

    return build


@pytest.fixture
def two_stages(make_target) -> list[Target]:
    """Two targets for each half of a model of 20 layers, in one zone."""
    return [
        make_target("a1", 0, 10),
        make_target("a2", 0, 10),
        make_target("b1", 10, 20),
        make_target("b2", 10, 20),
    ]


@pytest.fixture
def links() -> list[Link]:
    return [
        Link("a", "b", 0.0005, 1000.0),
        Link("b", "a", 0.0005, 1000.0),
        Link("a", "c", 0.0005, 10.0),
        Link("c", "a", 0.0005, 10.0),
    ]
