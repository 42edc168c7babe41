"""``radishfield profiles``: publish, change, retire, list and show."""

import click

from radishfield.edges import ProfileBody, ProfileList, ProfileView, RetireBody
from radishfield.scripts._options import Session, operator_command

PRIORITIES = click.Choice(["urgent", "high", "normal", "low"])
KINDS = click.Choice(["engine", "service"])


def profile_options(function):
    """Add the options that describe a profile."""
    for option in reversed(
        (
            click.option("--model", help="Model, or name of the plain service."),
            click.option("--kind", type=KINDS),
            click.option("--priority", type=PRIORITIES),
            click.option("--deadline-s", type=float, help="How late is too late."),
            click.option("--idempotent/--not-idempotent", default=None),
        )
    ):
        function = option(function)
    return function


@click.group()
def profiles():
    """Name classes of work, change them, and see where they are in force."""


@profiles.command()
@click.argument("name")
@profile_options
@operator_command
def publish(session: Session, name, **fields):
    """Publish a profile under a new name.

    \b
    Example: reviews that may not run twice, within 90 s:
      radishfield profiles publish review --model large --priority high \\
        --deadline-s 90 --not-idempotent
    """
    if not fields["model"]:
        raise click.UsageError("--model is needed")
    body = ProfileBody(name=name, **_drop_unset(fields))
    view = session.request("POST", "/v1/profiles", ProfileView, body)
    session.show(view, _profile_lines(view))


@profiles.command()
@click.argument("name")
@profile_options
@click.option("--expected-version", type=int, help="Refuse if it is another by now.")
@operator_command
def change(session: Session, name, expected_version, **fields):
    """Change the given fields of a profile; the others stay.

    The change is refused, with exit code 3, if another operator's change came
    in between; the message says what won.

    \b
    Example:
      radishfield profiles change review --deadline-s 60
    """
    current = session.request("GET", f"/v1/profiles/{name}", ProfileView)
    merged = {
        "model": current.model,
        "kind": current.kind,
        "priority": current.priority,
        "deadline_s": current.deadline_s,
        "idempotent": current.idempotent,
    } | _drop_unset(fields)
    version = current.version if expected_version is None else expected_version
    body = ProfileBody(name=name, expected_version=version, **merged)
    view = session.request("PUT", f"/v1/profiles/{name}", ProfileView, body)
    session.show(view, _profile_lines(view))


@profiles.command()
@click.argument("name")
@click.option("--expected-version", type=int, help="Refuse if it is another by now.")
@operator_command
def retire(session: Session, name, expected_version):
    """Retire a profile for good; its name is never used again.

    \b
    Example:
      radishfield profiles retire review-2019
    """
    body = RetireBody(expected_version=expected_version)
    view = session.request("DELETE", f"/v1/profiles/{name}", ProfileView, body)
    session.show(view, _profile_lines(view))


@profiles.command("list")
@operator_command
def list_profiles(session: Session):
    """List every profile that the host knows, retired ones too.

    \b
    Example:
      radishfield profiles list --json
    """
    profile_list = session.request("GET", "/v1/profiles", ProfileList)
    session.show(profile_list, [_profile_line(view) for view in profile_list.profiles])


@profiles.command()
@click.argument("name")
@operator_command
def show(session: Session, name):
    """Show a profile, and in which zones which version is in force.

    \b
    Example:
      radishfield profiles show review
    """
    view = session.request("GET", f"/v1/profiles/{name}", ProfileView)
    session.show(view, _profile_lines(view))


def _drop_unset(fields: dict) -> dict:
    return {name: value for name, value in fields.items() if value is not None}


def _profile_line(view: ProfileView) -> str:
    idempotence = "idempotent" if view.idempotent else "not idempotent"
    state = " RETIRED" if view.retired else ""
    return (
        f"{view.name} version {view.version}: {view.kind} {view.model}, "
        f"{view.priority}, {view.deadline_s:g} s, {idempotence}{state}"
    )


def _profile_lines(view: ProfileView) -> list[str]:
    lines = [_profile_line(view)]
    for zone in view.zones:
        answered = f"{zone.hosts_answered} of {zone.hosts_asked} hosts answered"
        if not zone.hosts_answered:
            state = "cut off, not known"
        elif zone.lowest_version >= view.version:
            state = "in force"
        else:
            state = f"version {zone.lowest_version} at the slowest host"
        lines.append(f"  {zone.zone}: {state} ({answered})")
    return lines
