"""Where answers in time are lost: ``python -m bench.losses LOG... [--by second]``.

Reads the log lines of all hosts of one play, as printed with ``--log all`` (simulated
time, host, line), and names one cause for each request that did not come in time.
A request that came back after a refusal has a new id; it is told from a first try by
its deadline, which is shorter than the longest that its route was seen with.
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
RETURN_SHARE = 0.8
"""A deadline under this part of its route's longest is a return's: first tries differ
by up to a sixth.  A return after a second or two is not told apart."""
IN_TIME = "in time"
BY_PROBLEM = {
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
NOT_OWED = (ResultCode.UNKNOWN_ROUTE, ResultCode.UNAUTHORIZED, ResultCode.CANCELLED)
SPANS = ("second", "route", "zone")


@dataclass(slots=True, frozen=True)
class LogLine:
    """One line of a host's log, with the play's own time in seconds."""

    at_s: float
    host: str
    fields: dict


@dataclass(slots=True, frozen=True)
class Ended:
    """One request's end, as its host logged it."""

    arrived_s: float
    host: str
    zone: str
    route: str
    cause: str


def read_lines(text: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines among what a play printed."""
    for row in text:
        found = _LINE.match(row)
        if found is None:
            continue
        try:
            fields = json.loads(found[3])
        except json.JSONDecodeError:
            # A process that was killed may leave half a line.
            continue
        yield LogLine(float(found[1]), found[2], fields)


def ends(lines: Iterable[LogLine]) -> list[Ended]:
    """Return every request that is worth something, with its cause."""
    found: list[tuple[LogLine, float]] = []
    open_by_id: dict[str, LogLine] = {}
    longest_by_route: dict[str, float] = {}
    zone_by_host: dict[str, str] = {}
    for line in lines:
        fields = line.fields
        match fields.get("event"):
            case "host.starting":
                zone_by_host[line.host] = fields.get("zone", "")
                _drop_host(open_by_id, line.host, found)
            case "attempt.sent":
                open_by_id.setdefault(fields["request"], line)
            case "request.ended":
                open_by_id.pop(fields["request"], None)
                found.append((line, line.at_s - fields["seconds"]))
                route, deadline_s = fields.get("route", ""), fields.get("deadline_s")
                known = longest_by_route.get(route, 0.0)
                longest_by_route[route] = max(known, deadline_s or 0.0)
    return [
        Ended(
            arrived_s,
            line.host,
            zone_by_host.get(line.host, ""),
            line.fields.get("route", ""),
            cause,
        )
        for line, arrived_s in found
        if (cause := cause_of(line.fields, longest_by_route)) is not None
    ]


def _drop_host(
    open_by_id: dict[str, LogLine], host: str, found: list[tuple[LogLine, float]]
) -> None:
    """Count the streams that a host's earlier process took with it."""
    for request_id, line in list(open_by_id.items()):
        if line.host == host:
            del open_by_id[request_id]
            found.append((line, line.at_s))


def cause_of(fields: dict, longest_by_route: dict[str, float]) -> str | None:
    """Return one cause for a request, or None if it is worth nothing.

    What is lost to a return is put down to the refusal that came before it: a
    request that comes back is late however fast it is served then.
    """
    if fields["event"] == "attempt.sent":
        return "host gone"
    code = fields["code"]
    if code in NOT_OWED or not fields.get("route"):
        return None if code != ResultCode.PROFILES_UNKNOWN else BY_PROBLEM[code]
    if code != ResultCode.FINISHED:
        return BY_PROBLEM.get(code, f"code {code}")
    if "events" not in fields:
        in_time = fields["seconds"] <= fields["objective_s"]
        late = IN_TIME if in_time else "late: slow answer"
    else:
        late = _late_stream(fields)
    deadline_s = fields.get("deadline_s") or 0.0
    longest_s = longest_by_route.get(fields["route"], 0.0)
    if late == IN_TIME and deadline_s < longest_s * RETURN_SHARE:
        return "late: came back after a refusal"
    return late


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


def table(rows: Iterable[Ended], span: str, step_s: float) -> list[str]:
    """Return lines of counts by cause for each second, route or zone."""
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
@click.option("--by", "span", type=click.Choice(SPANS), help="Counts for each of it.")
@click.option("--step-s", default=2.0, show_default=True, help="Width with --by second")
def main(logs: tuple[Path, ...], span: str | None, step_s: float) -> None:
    """Print the causes for which requests of each LOG did not come in time.

    Example: python -m bench.losses trouble-1.txt --by second
    """
    total: Counter[str] = Counter()
    for log in logs:
        with log.open(errors="replace") as text:
            rows = ends(read_lines(text))
        total.update(row.cause for row in rows)
        if span:
            click.echo(log.name)
            click.echo("\n".join(table(rows, span, step_s)))
    asked = sum(total.values())
    for cause, count in total.most_common():
        click.echo(f"{count:6} {count / max(1, asked):6.1%} {cause}")


if __name__ == "__main__":
    main()
