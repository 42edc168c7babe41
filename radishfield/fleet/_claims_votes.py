"""What the keepers' votes on a claim come to, and what a repeat is told.

No I/O here.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from expression import Error, Ok, Result

from radishfield.core import Fault, Outcome, ResultCode, fault
from radishfield.fleet._claims_book import ClaimRecord, ClaimState
from radishfield.fleet._claims_keepers import Keepers
from radishfield.fleet._claims_wire import RecordAnswer, RecordAsk

# A first copy runs for seconds; asking each second costs little.
RETRY_IN_FLIGHT_S = 1.0
# Keepers come back after a cut or a restart, not within a second.
RETRY_UNPROVEN_S = 5.0


@dataclass(slots=True, frozen=True)
class Claimed:
    """A granted claim; its holder settles it once the run has ended."""

    record: ClaimRecord


@dataclass(slots=True, frozen=True)
class Replay:
    """The whole answer of the first run."""

    answer: bytes


def answer_to_repeat(
    earlier: ClaimRecord, digest: str
) -> Result[Claimed | Replay, Fault]:
    """Return what a repeat is told about the copy that holds its key."""
    if earlier.digest != digest:
        detail = "the key was used with another body"
        return Error(fault(ResultCode.IDEMPOTENCY_KEY_REUSED, detail))
    if earlier.answer is not None:
        return Ok(Replay(earlier.answer))
    match earlier.state:
        case ClaimState.CLAIMED:
            detail = "the first copy is still running"
            code = ResultCode.DUPLICATE_IN_FLIGHT
            return Error(fault(code, detail, RETRY_IN_FLIGHT_S))
        case ClaimState.FINISHED:
            detail = "the first copy finished; its answer is no longer kept"
            gone = fault(ResultCode.DUPLICATE_UNKNOWN, detail)
            return Error(replace(gone, proven_outcome=Outcome.FINISHED))
    detail = "the first copy may have run; it is not run again"
    return Error(fault(ResultCode.DUPLICATE_UNKNOWN, detail))


def is_won(keepers: Keepers, votes: Mapping[str, RecordAnswer]) -> bool:
    """Tell whether a majority recorded the claim and vouches for its memory."""
    good = [each for each in _vouching(keepers, votes) if votes[each].is_recorded]
    return len(good) >= keepers.majority


def why_not(keepers: Keepers, votes: Mapping[str, RecordAnswer]) -> Fault:
    """Say why no majority was found, though nobody holds the key.

    If a majority vouches that the key is free, no copy ran, and the refusal is
    "not run".  Otherwise an earlier copy may have run out of our sight.
    """
    vouching = len(_vouching(keepers, votes))
    if vouching >= keepers.majority:
        detail = "the keepers of claims are full"
        return fault(ResultCode.CLAIM_UNAVAILABLE, detail, RETRY_UNPROVEN_S)
    return unproven(
        f"{vouching} of {len(keepers.voters)} keepers can vouch for the key,"
        f" {keepers.majority} are needed"
    )


def _vouching(keepers: Keepers, votes: Mapping[str, RecordAnswer]) -> list[str]:
    return [
        host_id
        for host_id in keepers.voters
        if host_id in votes and votes[host_id].vouches
    ]


def gives_way(held: ClaimRecord, ask: RecordAsk) -> bool:
    """Tell whether a kept record may be replaced by the one that is asked for."""
    if held.state is ClaimState.RELEASED or held.claim_id == ask.record.claim_id:
        return True
    # An ended or unknown run is never superseded, whoever says so.
    return held.state is ClaimState.CLAIMED and held.claim_id in ask.superseded


def rivals_of(votes: dict[str, RecordAnswer]) -> list[ClaimRecord]:
    """Return each claim in the way, as its best informed keeper has it.

    Those that say most come first: a key that one keeper calls unknown may be
    known at another as finished.
    """
    rivals_by_claim: dict[str, ClaimRecord] = {}
    for vote in votes.values():
        if vote.held is None:
            continue
        known = rivals_by_claim.get(vote.held.claim_id)
        if known is None or known.state is ClaimState.CLAIMED:
            rivals_by_claim[vote.held.claim_id] = vote.held
        elif vote.held.answer is not None:
            rivals_by_claim[vote.held.claim_id] = vote.held
    return sorted(rivals_by_claim.values(), key=_rank)


def _rank(rival: ClaimRecord) -> int:
    if rival.answer is not None:
        return 0
    order = (ClaimState.FINISHED, ClaimState.CLAIMED, ClaimState.UNKNOWN)
    return order.index(rival.state) + 1 if rival.state in order else len(order) + 1


def as_unknown(rival: ClaimRecord) -> ClaimRecord:
    """Return the claim as one whose run may have begun."""
    return replace(rival, state=ClaimState.UNKNOWN)


def unproven(detail: str) -> Fault:
    """Return the refusal of a copy where an earlier one may have run."""
    refused = fault(ResultCode.CLAIM_UNAVAILABLE, detail, RETRY_UNPROVEN_S)
    return replace(refused, proven_outcome=Outcome.UNKNOWN)
