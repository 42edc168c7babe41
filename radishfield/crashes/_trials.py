"""Single requests that are let through although their traits are refused.

A refusal that a host knows from a record alone can't be contradicted by anything that
it serves, since it serves no request with these traits.  One request at a time, over
all hosts, is therefore sent as a trial: its survival ends the refusal.
"""

from collections.abc import Collection

import msgspec


class _Trial(msgspec.Struct):
    until: float
    request_id: str | None = None
    begun: bool = False


class Trials(msgspec.Struct):
    """The trials that this host may make, by the traits that are refused together."""

    _trial_by_traits: dict[frozenset[str], _Trial] = msgspec.field(default_factory=dict)

    def grant(self, traits: frozenset[str], until: float) -> None:
        """Let one request with these traits through, which has to begin in time."""
        self._trial_by_traits[traits] = _Trial(until)

    def is_granted(self, traits: frozenset[str], now: float) -> bool:
        """Return whether a trial of these traits was granted and is not over."""
        trial = self._trial_by_traits.get(traits)
        return trial is not None and now < trial.until

    def admit(
        self, refusals: Collection[frozenset[str]], request_id: str, now: float
    ) -> bool:
        """Return whether a request is the trial of all refusals that it meets.

        A request that has begun is not sent to a second target.
        """
        trials = [self._trial_by_traits.get(traits) for traits in refusals]
        if not all(
            trial is not None
            and now < trial.until
            and not trial.begun
            and trial.request_id in (None, request_id)
            for trial in trials
        ):
            return False
        for trial in trials:
            trial.request_id = request_id
        return True

    def begin(self, traits: Collection[str]) -> None:
        """Record that a request with these traits is sent to a target."""
        for refused, trial in self._trial_by_traits.items():
            if trial.request_id is not None and refused.issubset(traits):
                trial.begun = True

    def under_way(self, traits: Collection[str], now: float) -> list[frozenset[str]]:
        """Return the refusals of which a request with these traits is the trial."""
        return [
            refused
            for refused, trial in self._trial_by_traits.items()
            if trial.begun and now < trial.until and refused.issubset(traits)
        ]

    def forget(self, now: float) -> None:
        """Drop the trials that are over."""
        over = [
            traits
            for traits, trial in self._trial_by_traits.items()
            if now >= trial.until
        ]
        for traits in over:
            del self._trial_by_traits[traits]
