"""Tests of the targets and links that the scheduler gets."""

from radishfield.core import LayerRange, Link, Priority, Target, TargetKind
from radishfield.decisions import Dispatch, Scheduler, Work
from radishfield.serving import links_between


def test_configured_links_stay_and_other_pairs_get_default_links():
    configured = Link("a", "b", 0.02, 300.0)
    links = links_between({"a", "b", "c"}, [configured])
    assert configured in links
    assert len(links) == 6
    assert len({(link.from_zone, link.to_zone) for link in links}) == 6


def test_zones_that_hold_the_model_only_together_serve_requests():
    """The caller is served although the settings name no link.

    Each of two zones holds half of the layers, and the route leads through both.
    """
    layers_by_zone = {"a": LayerRange(0, 10), "b": LayerRange(10, 20)}
    targets = [
        Target(
            zone, zone, zone, "127.0.0.1:1", model="m", layers=layers, model_layers=20
        )
        for zone, layers in layers_by_zone.items()
    ]
    scheduler = Scheduler()
    scheduler.set_fleet(targets, links_between(layers_by_zone, ()), "a", 1, 0.0)
    work = Work("r", "w", "m", TargetKind.ENGINE, Priority.NORMAL, 0.0, 100.0)
    scheduler.offer(work, 0.0)
    (dispatch,) = scheduler.take(0.0)
    assert isinstance(dispatch, Dispatch)
    assert [stage.target_id for stage in dispatch.route.stages] == ["a", "b"]
