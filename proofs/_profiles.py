"""The two fuzz profiles: seeded and bounded for CI, long for ``make fuzz``."""

from hypothesis import HealthCheck, Phase, settings

STEPS = 30


def ci_profile(examples: int) -> settings:
    """Return settings that give the same verdict each time."""
    return settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        deadline=None,
        derandomize=True,
        report_multiple_bugs=False,
        database=None,
        suppress_health_check=list(HealthCheck),
    )


def mutation_profile(examples: int) -> settings:
    """Return the CI settings without shrinking: only the verdict counts."""
    return settings(ci_profile(examples), phases=[Phase.generate])


def long_profile(examples: int) -> settings:
    """Return settings whose examples follow a seed that the caller sets."""
    return settings(ci_profile(examples), derandomize=False, stateful_step_count=50)
