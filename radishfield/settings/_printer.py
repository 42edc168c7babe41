"""Prints settings as a file, with every default and the values allowed for a key."""

from radishfield.core import Link, Profile, Target
from radishfield.settings._fields import section_fields
from radishfield.settings._reader import SECTION_TYPE_BY_NAME, EntrySettings
from radishfield.settings._units import duration_text


def settings_text(settings: EntrySettings) -> str:
    """Return the settings as INI with defaults; secrets stay hidden."""
    lines: list[str] = []
    for name in SECTION_TYPE_BY_NAME:
        lines += _section_lines(name, getattr(settings, name))
    for name, value in settings.extra_by_section.items():
        lines += _section_lines(name, value)
    lines += ["[targets]", *map(_target_line, settings.targets), ""]
    lines += ["[profiles]", *map(_profile_line, settings.profiles), ""]
    lines += ["[links]", *map(_link_line, settings.links), ""]
    return "\n".join(lines)


def settings_table(settings: EntrySettings) -> str:
    """Return a Markdown table of every key with its default and allowed values."""
    lines = ["| section | key | default | allowed |", "| --- " * 4 + "|"]
    sections = {name: getattr(settings, name) for name in SECTION_TYPE_BY_NAME}
    for name, section in (sections | dict(settings.extra_by_section)).items():
        for item in section_fields(type(section)):
            default = item.text(getattr(section, item.name)) or "blank"
            lines.append(f"| {name} | {item.key} | {default} | {item.allowed()} |")
    return "\n".join(lines)


def _section_lines(name: str, section: object) -> list[str]:
    lines = [f"[{name}]"]
    for item in section_fields(type(section)):
        value = getattr(section, item.name)
        lines.append(f"# {item.allowed()}")
        lines.append(f"{item.key} = {item.text(value)}".rstrip())
    return [*lines, ""]


def _target_line(target: Target) -> str:
    layers = f"{target.layers.first} {target.layers.end} {target.model_layers}"
    capacity = f"{target.speed_tps:g} {target.slots} {target.kind}"
    location = f"{target.address} {target.zone} {target.model}"
    return f"{target.id} = {location} {layers} {capacity}"


def _profile_line(profile: Profile) -> str:
    idempotent = "yes" if profile.idempotent else "no"
    return (
        f"{profile.name} = {profile.model} kind={profile.kind} "
        f"priority={profile.priority.name.lower()} "
        f"deadline={duration_text(profile.deadline_s)} idempotent={idempotent}"
    )


def _link_line(link: Link) -> str:
    latency = duration_text(link.latency_s)
    return f"{link.from_zone}>{link.to_zone} = {latency} {link.tokens_per_s:g}"
