"""Saves results as JSON and draws them as one plot."""

from collections.abc import Sequence
from pathlib import Path

import msgspec

from bench._runs import OURS, POLICIES, Result

RESULTS = Path(__file__).parent / "results"


def save(result: Result) -> None:
    """Write a scenario's figures to bench/results."""
    RESULTS.mkdir(exist_ok=True)
    content = msgspec.json.encode(result)
    formatted = msgspec.json.format(content, indent=2)
    (RESULTS / f"{result.name}.json").write_bytes(formatted + b"\n")


def load_saved() -> list[Result]:
    """Return all saved results."""
    files = sorted(RESULTS.glob("*.json"))
    return [msgspec.json.decode(f.read_bytes(), type=Result) for f in files]


def draw(results: Sequence[Result]) -> None:
    """Draw the policies of every scenario and the aim as a dashed line."""
    # Imported here because only the plot needs it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    shown = [result for result in results if len(result.by_policy) > 1]
    figure, axes = pyplot.subplots(2, 4, figsize=(16, 7))
    for axis in axes.flat[len(shown) :]:
        axis.set_visible(False)
    for axis, result in zip(axes.flat, shown, strict=False):
        names = [name for name in POLICIES if name in result.by_policy]
        colours = ["tab:green" if name == OURS else "tab:gray" for name in names]
        axis.bar(names, [result.by_policy[name] for name in names], color=colours)
        axis.axhline(result.aim, color="tab:red", linestyle="--")
        better = "higher" if result.higher_is_better else "lower"
        axis.set_title(f"{result.name} ({better} is better)", fontsize=9)
        axis.tick_params(axis="x", labelrotation=20, labelsize=7)
    figure.suptitle("Policies by scenario; the dashed line is the aim")
    figure.tight_layout()
    figure.savefig(RESULTS / "scenarios.png", dpi=80)
    pyplot.close(figure)
