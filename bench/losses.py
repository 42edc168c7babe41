"""Counts causes of late answers: ``python -m bench.losses LOG... [--by second]``.

Reads the log lines of all hosts of one simulation, as printed with ``--log all``
(simulated time, host, line), and assigns one cause to each request that was not
answered in time.  A request that is retried after a refusal has a new id.  It is
recognised by its deadline, which is shorter than the longest logged for its route.
"""

import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

import click

from radishfield.core import ResultCode

_LINE = re.compile(r"\s*(-?\d+\.\d+) (\S+) (\{.*\})$")
RETRY_DEADLINE_SHARE = 0.8
"""A deadline below this share of its route's longest one marks a retry: deadlines of
first attempts differ by up to a sixth.  A retry after 1 or 2 s is not detected."""
IN_TIME = "in time"
CAUSE_BY_CODE = {
    ResultCode.PROFILES_UNKNOWN: "refused: keys stale",
    ResultCode.DEADLINE_UNREACHABLE: "refused: full",
    ResultCode.EXPIRED_IN_QUEUE: "refused: waited to its deadline",
    ResultCode.NO_TARGET: "refused: no path",
    ResultCode.TARGET_REFUSED: "refused by targets",
    ResultCode.DRAINING: "refused: host leaves",
    ResultCode.RETRIES_EXHAUSTED: "failed: target lost, no try left",
    ResultCode.STREAM_BROKEN: "failed: target lost",
    ResultCode.STREAM_SILENT: "failed: target lost",
    ResultCode.TARGET_ERROR: "failed by the target",
    ResultCode.DEADLINE_PASSED: "failed: timeout",
}
NOT_COUNTED = (ResultCode.UNKNOWN_ROUTE, ResultCode.UNAUTHORIZED, ResultCode.CANCELLED)
GROUPINGS = ("second", "route", "zone")


@dataclass(slots=True, frozen=True)
class LogLine:
    """One line of a host's log; `at_s` is simulated time in seconds."""

    at_s: float
    host: str
    fields: dict


@dataclass(slots=True, frozen=True)
class EndedRequest:
    """A request that ended, and the cause derived from its host's log."""

    arrived_s: float
    host: str
    zone: str
    route: str
    cause: str


def read_lines(text: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines in the output of a simulation."""
    for row in text:
        found = _LINE.match(row)
        if found is None:
            continue
        try:
            fields = json.loads(found[3])
        except json.JSONDecodeError:
            # A killed process may leave a truncated line.
            continue
        yield LogLine(float(found[1]), found[2], fields)


def ended_requests(lines: Iterable[LogLine]) -> list[EndedRequest]:
    """Return every request that counts, with its cause."""
    found: list[tuple[LogLine, float]] = []
    open_by_id: dict[str, LogLine] = {}
    longest_deadline_by_route: dict[str, float] = {}
    zone_by_host: dict[str, str] = {}
    for line in lines:
        fields = line.fields
        match fields.get("event"):
            case "host.starting":
                zone_by_host[line.host] = fields.get("zone", "")
                _add_open_streams(open_by_id, line.host, found)
            case "attempt.sent":
                open_by_id.setdefault(fields["request"], line)
            case "request.ended":
                open_by_id.pop(fields["request"], None)
                found.append((line, line.at_s - fields["seconds"]))
                route, deadline_s = fields.get("route", ""), fields.get("deadline_s")
                known = longest_deadline_by_route.get(route, 0.0)
                longest_deadline_by_route[route] = max(known, deadline_s or 0.0)
    return [
        EndedRequest(
            arrived_s,
            line.host,
            zone_by_host.get(line.host, ""),
            line.fields.get("route", ""),
            cause,
        )
        for line, arrived_s in found
        if (cause := cause_of(line.fields, longest_deadline_by_route)) is not None
    ]


def _add_open_streams(
    open_by_id: dict[str, LogLine], host: str, found: list[tuple[LogLine, float]]
) -> None:
    """Add the streams that were open when a host's earlier process ended."""
    for request_id, line in list(open_by_id.items()):
        if line.host == host:
            del open_by_id[request_id]
            found.append((line, line.at_s))


def cause_of(fields: dict, longest_deadline_by_route: dict[str, float]) -> str | None:
    """Return one cause for a request, or None if it does not count.

    A retry is attributed to the refusal before it, because a retried request is late
    however fast it is then served.
    """
    if fields["event"] == "attempt.sent":
        return "host gone"
    code = fields["code"]
    if code in NOT_COUNTED or not fields.get("route"):
        return None if code != ResultCode.PROFILES_UNKNOWN else CAUSE_BY_CODE[code]
    if code != ResultCode.FINISHED:
        return CAUSE_BY_CODE.get(code, f"code {code}")
    if "events" not in fields:
        in_time = fields["seconds"] <= fields["objective_s"]
        cause = IN_TIME if in_time else "late: slow answer"
    else:
        cause = _late_stream(fields)
    deadline_s = fields.get("deadline_s") or 0.0
    longest_s = longest_deadline_by_route.get(fields["route"], 0.0)
    if cause == IN_TIME and deadline_s < longest_s * RETRY_DEADLINE_SHARE:
        return "late: came back after a refusal"
    return cause


def _late_stream(fields: dict) -> str:
    first_s = fields["first_event_s"]
    if first_s is None:
        return "late: no event"
    if first_s > fields["objective_s"]:
        if fields["queued_s"] > fields["objective_s"] / 2:
            return "late: waited in line"
        if fields["sent"] > 1 or fields["moved"]:
            return "late: target lost before the first event"
        return "late: slow first event"
    if fields["longest_gap_s"] > fields["gap_objective_s"]:
        if fields["moved"]:
            return "late: path moved in mid stream"
        if fields["sent"] > 1:
            return "late: target lost in mid stream"
        return "late: pause too long"
    return IN_TIME


def table(rows: Iterable[EndedRequest], span: str, step_s: float) -> list[str]:
    """Return a line of counts by cause for each time step, route or zone."""
    counts: dict[object, Counter[str]] = defaultdict(Counter)
    for row in rows:
        match span:
            case "second":
                key = row.arrived_s // step_s * step_s
            case "route":
                key = row.route
            case _:
                key = row.zone
        counts[key][row.cause] += 1
    lines = []
    for key in sorted(counts):
        total = sum(counts[key].values())
        in_time = counts[key].pop(IN_TIME, 0)
        causes = ", ".join(f"{n} {cause}" for cause, n in counts[key].most_common())
        lines.append(f"{key!s:>12} {total:5} asked {in_time:5} in time; {causes}")
    return lines


@click.command()
@click.argument("logs", nargs=-1, type=click.Path(exists=True, path_type=Path))
@click.option(
    "--by", "span", type=click.Choice(GROUPINGS), help="Counts for each of it."
)
@click.option("--step-s", default=2.0, show_default=True, help="Width with --by second")
def main(logs: tuple[Path, ...], span: str | None, step_s: float) -> None:
    """Print the causes for which requests of each LOG did not come in time.

    Example: python -m bench.losses trouble-1.txt --by second
    """
    total: Counter[str] = Counter()
    for log in logs:
        with log.open(errors="replace") as text:
            rows = ended_requests(read_lines(text))
        total.update(row.cause for row in rows)
        if span:
            click.echo(log.name)
            click.echo("\n".join(table(rows, span, step_s)))
    request_count = sum(total.values())
    for cause, count in total.most_common():
        click.echo(f"{count:6} {count / max(1, request_count):6.1%} {cause}")


if __name__ == "__main__":
    main()
