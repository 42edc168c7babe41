"""The two fuzz profiles: seeded and bounded for CI, long for ``make fuzz``."""

from hypothesis import HealthCheck, Phase, settings

STEPS = 30


def ci_profile(examples: int) -> settings:
    """Return settings that give the same result each time, in bounded time.

    Failures are not shrunk, because that may take minutes; ``make fuzz`` does it.
    """
    return settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        deadline=None,
        derandomize=True,
        report_multiple_bugs=False,
        database=None,
        phases=[Phase.explicit, Phase.generate],
        suppress_health_check=list(HealthCheck),
    )


def long_profile(examples: int) -> settings:
    """Return settings whose examples depend on a seed that the caller sets."""
    return settings(
        ci_profile(examples),
        derandomize=False,
        stateful_step_count=50,
        phases=[Phase.explicit, Phase.generate, Phase.shrink],
    )
