"""Builds the fleets that the scenarios use."""

from bench._load import MODEL
from radishfield.core import LayerRange, Link, Target

ZONES = ("duluth-hall", "toledo-hall", "kingston-hall")
LAYERS = 40
STAGE_LAYERS = 10

MIXED = {
    # Speeds in tokens per second by stage.  No zone is balanced on its own.
    "duluth-hall": ((400, 200), (400, 100, 100), (200, 100), (400, 100)),
    "toledo-hall": ((200, 100), (200, 200), (400, 200, 200), (200, 200, 100)),
    "kingston-hall": ((200, 200, 100), (200, 200), (200, 200), (400, 200, 100)),
}

LINK_TPS = {
    ("duluth-hall", "toledo-hall"): 2000.0,
    ("toledo-hall", "kingston-hall"): 400.0,
    ("duluth-hall", "kingston-hall"): 20.0,
}


def mixed_targets() -> list[Target]:
    """Return 30 targets of three speeds in three zones and four stages."""
    targets = []
    for zone, stages in MIXED.items():
        for stage, speeds in enumerate(stages):
            for speed in speeds:
                targets.append(_target(zone, stage, speed, len(targets)))
    return targets


def even_targets(per_stage: int = 2, speed: int = 200) -> list[Target]:
    """Return an equal number of targets for each of four stages in each zone."""
    targets = []
    for zone in ZONES:
        for stage in range(4):
            for _ in range(per_stage):
                targets.append(_target(zone, stage, speed, len(targets)))
    return targets


def uneven_links() -> list[Link]:
    """Return links whose rates differ a hundredfold."""
    links = [Link(zone, zone, 0.0002, 20_000.0) for zone in ZONES]
    for (here, there), rate in LINK_TPS.items():
        links.append(Link(here, there, 0.0005, rate))
        links.append(Link(there, here, 0.0005, rate))
    return links


def _target(zone: str, stage: int, speed: int, index: int) -> Target:
    return Target(
        id=f"t{index}",
        host=f"h{index}",
        zone=zone,
        address=f"127.0.0.1:{20000 + index}",
        model=MODEL,
        layers=LayerRange(stage * STAGE_LAYERS, (stage + 1) * STAGE_LAYERS),
        model_layers=LAYERS,
        speed_tps=float(speed),
        slots=8 if speed <= 200 else 16,
    )
