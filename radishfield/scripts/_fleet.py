"""Commands on the fleet: drain, undrain, targets, hosts, status, explain."""

import click

from radishfield.core import Host, Target
from radishfield.edges import Explanation, HostBody, TargetBody, TargetList
from radishfield.fleet import Drain, FleetStatus
from radishfield.scripts._options import Session, operator_command
from radishfield.telemetry import RecordedEvent

KIND = click.Choice(["target", "host", "zone"])


@click.command()
@click.argument("kind", type=KIND)
@click.argument("id")
@operator_command
def drain(session: Session, kind, id):
    """Give a target, a host or a zone no new work; what runs goes on.

    \b
    Example: before an availability zone is switched off:
      radishfield drain zone toledo-hall
    """
    drained = session.request("PUT", f"/v1/drains/{kind}/{id}", Drain)
    session.show(drained, [f"{kind} {id}: drained, no new work within seconds"])


@click.command()
@click.argument("kind", type=KIND)
@click.argument("id")
@operator_command
def undrain(session: Session, kind, id):
    """Take a drain back.

    \b
    Example:
      radishfield undrain zone toledo-hall
    """
    drained = session.request("DELETE", f"/v1/drains/{kind}/{id}", Drain)
    session.show(drained, [f"{kind} {id}: takes new work again"])


@click.group()
def targets():
    """Add targets and list them with the state that the host acts on."""


@targets.command("add")
@click.argument("id")
@click.option("--host", required=True, help="Host that the target runs on.")
@click.option("--zone", required=True)
@click.option("--address", required=True, metavar="IP:PORT")
@click.option("--model", required=True)
@click.option("--kind", type=click.Choice(["engine", "service"]), default="engine")
@click.option("--layers", metavar="FIRST:END", help="Half open range, such as 0:4.")
@click.option("--model-layers", type=int, default=0, help="Layers of the whole model.")
@click.option("--speed-tps", type=float, default=0.0, help="Tokens a second.")
@click.option("--slots", type=int, default=8, help="Requests batched at a time.")
@click.option("--checks-fencing/--ignores-fencing", default=False)
@operator_command
def add_target(session: Session, layers, **fields):
    """Add a target, or replace its entry.

    \b
    Example: the first four of sixteen layers:
      radishfield targets add engine-7 --host gpu-7 --zone duluth-hall \\
        --address 10.0.0.7:9000 --model large --layers 0:4 --model-layers 16
    """
    first, _, end = (layers or "0:0").partition(":")
    if not (first.isdigit() and end.isdigit()):
        raise click.UsageError("--layers takes FIRST:END, such as 0:4")
    body = TargetBody(first=int(first), end=int(end), **fields)
    target = session.request("POST", "/v1/targets", Target, body)
    session.show(target, [_target_line(target)])


@targets.command("list")
@operator_command
def list_targets(session: Session):
    """List targets by model and layers.

    \b
    Example:
      radishfield targets list
    """
    target_list = session.request("GET", "/v1/targets", TargetList)
    session.show(target_list, _target_lines(target_list.targets))


@click.group()
def hosts():
    """Add entry hosts and hosts of targets."""


@hosts.command("add")
@click.argument("id")
@click.option("--zone", required=True)
@click.option("--address", default="", help="Peer address of an entry host.")
@operator_command
def add_host(session: Session, id, zone, address):
    """Add a host; an entry host's peer address serves new ones as a seed.

    \b
    Example:
      radishfield hosts add entry-9 --zone kingston-hall --address 10.0.3.9:7000
    """
    body = HostBody(id=id, zone=zone, address=address)
    host = session.request("POST", "/v1/hosts", Host, body)
    session.show(host, [f"{host.id} in {host.zone}: added"])


@click.command()
@operator_command
def status(session: Session):
    """Show what one entry host knows of the fleet.

    \b
    Example:
      radishfield status
    """
    fleet_status = session.request("GET", "/v1/status", FleetStatus)
    session.show(fleet_status, _status_lines(fleet_status))


@click.command()
@click.argument("request_id")
@operator_command
def explain(session: Session, request_id):
    """Show what was decided about a request, where it went, and why.

    REQUEST_ID is the answer's x-request-id or x-radishfield-id.  The record is
    at the host that served the request: name all hosts with --operator.

    \b
    Example:
      radishfield explain 4f1d0c8b --operator 10.0.1.1:9000,10.0.2.1:9000
    """
    explanation = session.request("GET", f"/v1/explain/{request_id}", Explanation)
    record = explanation.record
    lines = [
        f"{record.request_id} at {explanation.host}: profile {record.profile}, "
        f"workspace {record.workspace}"
    ]
    lines += [_event_line(event) for event in record.events]
    session.show(explanation, lines)


def _event_line(event: RecordedEvent) -> str:
    words = [f"  +{event.after_s:.3f} s {event.kind}"]
    if event.attempt:
        words.append(f"attempt {event.attempt}")
    if event.target_ids:
        words.append("on " + " > ".join(event.target_ids))
    if event.code is not None:
        words.append(f"{int(event.code)} {event.code.name}")
    if event.detail:
        words.append(f"({event.detail})")
    return " ".join(words)


def _target_lines(targets: tuple[Target, ...]) -> list[str]:
    ordered = sorted(
        targets, key=lambda target: (target.model, target.layers, target.id)
    )
    return [_target_line(target) for target in ordered]


def _target_line(target: Target) -> str:
    layers = f"layers {target.layers.first}:{target.layers.end}"
    workload = target.model if target.kind == "service" else f"{target.model} {layers}"
    return (
        f"{target.id} in {target.zone} at {target.address}: {workload}, {target.state}"
    )


def _status_lines(fleet_status: FleetStatus) -> list[str]:
    last_contact = "never"
    if fleet_status.platform_heard_s_ago is not None:
        last_contact = f"{fleet_status.platform_heard_s_ago:.1f} s ago"
    lines = [
        f"{fleet_status.host} in {fleet_status.zone}",
        f"platform last heard: {last_contact}",
        f"profiles known: {'yes' if fleet_status.profiles_known else 'no'}",
        "zones:",
    ]
    for zone in fleet_status.zones:
        count = f"{zone.live_hosts} of {zone.known_hosts} entry hosts live"
        lines.append(f"  {zone.zone}: {zone.reach}, {count}")
    lines.append("entry hosts:")
    for member in fleet_status.members:
        location = f"{member.zone} at {member.address}"
        lines.append(f"  {member.id} in {location}: {member.state}")
    lines.append("targets:")
    lines += ["  " + line for line in _target_lines(fleet_status.targets)]
    lines.append("leases:")
    for lease in fleet_status.leases:
        duty = f"{lease.duty} in {lease.zone}"
        lines.append(f"  {duty}: {lease.holder}, fencing {lease.fencing}")
    return lines
