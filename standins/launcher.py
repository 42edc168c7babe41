"""The demo and the serving fleet: ``python -m standins.launcher demo|serve``."""

import signal
import tempfile
from dataclasses import dataclass
from pathlib import Path

import click
import httpcore
import msgspec

from standins.engine_control import Record
from standins.fleet import MODEL, MODEL_LAYERS, THREE_ZONES, EntryProcess, SmallFleet
from standins.model import expected_words

PROMPT = "Summarise the transfer dispute."
DEMO_TOKENS = 12
READY = "interrupt to stop"


@dataclass(slots=True, frozen=True)
class Told:
    """What a caller was told about one request."""

    status: int
    outcome: str
    code: str
    body: bytes
    system_id: str

    @property
    def text(self) -> str:
        """Return the answer's text."""
        return msgspec.json.decode(self.body)["choices"][0]["message"]["content"]


def post(port: int, path: str, body: object, headers: dict[str, str]) -> Told:
    """Send one request to an entry host's callers' listener."""
    answer = httpcore.request(
        "POST",
        f"http://127.0.0.1:{port}{path}",
        headers=headers,
        content=msgspec.json.encode(body),
    )
    told = {name.decode().lower(): value.decode() for name, value in answer.headers}
    return Told(
        answer.status,
        told.get("x-outcome", ""),
        told.get("x-result-code", ""),
        answer.content,
        told.get("x-radishfield-id", ""),
    )


def chat(port: int, profile: str, prompt: str, tokens: int, key: str = "") -> Told:
    """Ask for one whole chat answer."""
    messages = [{"role": "user", "content": prompt}]
    body = {"model": profile, "messages": messages, "max_tokens": tokens}
    headers = {"content-type": "application/json"}
    if key:
        headers["idempotency-key"] = key
    return post(port, "/v1/chat/completions", body, headers)


def expected_text(prompt: str, tokens: int) -> str:
    """Return the only right answer of the stand-in's model."""
    return "".join(expected_words(MODEL, prompt, MODEL_LAYERS, tokens))


def ask(port: int, prompt: str = PROMPT, tokens: int = 16) -> str:
    """Send one request, check its answer and return it."""
    told = chat(port, "review", prompt, tokens)
    if told.status != 200 or told.text != expected_text(prompt, tokens):
        raise SystemExit(f"the answer is not the expected one: {told}")
    return told.text


@click.group()
def main():
    """Run a small fleet of stand-ins and entry hosts on loopback."""


@main.command()
def demo():
    """Start three zones, send requests through, print what happened, stop."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = SmallFleet(Path(folder), THREE_ZONES)
        try:
            fleet.start()
            _print_addresses(fleet)
            _play(fleet)
        finally:
            fleet.stop()
    click.echo("demo: every answer was whole and right; all processes ended")


@main.command()
def serve():
    """Start three zones and leave them running until interrupted."""
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _leave)
    with tempfile.TemporaryDirectory() as folder:
        fleet = SmallFleet(Path(folder), THREE_ZONES)
        try:
            fleet.start()
            _print_addresses(fleet)
            click.echo(READY)
            signal.pause()
        finally:
            fleet.stop()


def _leave(number: int, frame) -> None:
    """End by an exception: a signal's own way to end leaves the fleet running."""
    raise SystemExit(0)


def _print_addresses(fleet: SmallFleet) -> None:
    click.echo(f"platform  http://127.0.0.1:{fleet.platform_port}")
    for entry in fleet.entries_by_id.values():
        click.echo(
            f"entry     {entry.id:<18} callers http://127.0.0.1:{entry.caller_port}"
            f"  operators http://127.0.0.1:{entry.operator_port}"
        )
    for target in fleet.targets_by_id.values():
        layers = f"{target.layers.first}..{target.layers.end}"
        click.echo(
            f"{target.kind:<9} {target.id:<24} {target.address}  layers {layers}"
        )


def _play(fleet: SmallFleet) -> None:
    for entry in fleet.entries_by_id.values():
        _play_review(fleet, entry)
    _play_repeat(fleet)
    _play_lookup(fleet)


def _play_review(fleet: SmallFleet, entry: EntryProcess) -> None:
    prompt = f"{PROMPT} ({entry.zone})"
    told = chat(entry.caller_port, "review", prompt, DEMO_TOKENS)
    click.echo(f"\n{entry.id}: review {told.outcome} ({told.code}): {told.text}")
    if told.text != expected_text(prompt, DEMO_TOKENS):
        raise SystemExit("the answer is not the expected one")
    _print_stages(fleet, told.system_id)


def _print_stages(fleet: SmallFleet, system_id: str) -> None:
    """Print which stages ran the request's tokens, by the engines' own record."""
    for target in fleet.targets_by_id.values():
        if target.model != MODEL:
            continue
        record = httpcore.request("GET", f"http://{target.address}/control/record")
        steps = msgspec.json.decode(record.content, type=Record).steps
        positions = [step.position for step in steps if step.request_id == system_id]
        if positions:
            span = f"{min(positions)}..{max(positions)}"
            click.echo(f"  {target.id:<26} tokens {span}")


def _play_repeat(fleet: SmallFleet) -> None:
    first, second = list(fleet.entries_by_id.values())[:2]
    one = chat(first.caller_port, "draft", PROMPT, DEMO_TOKENS, key="ticket-4711")
    two = chat(second.caller_port, "draft", PROMPT, DEMO_TOKENS, key="ticket-4711")
    click.echo(f"\ndraft, may not run twice, at {first.id}: {one.outcome} ({one.code})")
    click.echo(f"its repeat at {second.id}: {two.outcome} ({two.code})")
    if one.text != two.text:
        raise SystemExit("the repeat got another answer")


def _play_lookup(fleet: SmallFleet) -> None:
    port = fleet.entry_ports[-1]
    url = f"http://127.0.0.1:{port}/v1/services/lookup/lookup/AS64500"
    answer = httpcore.request("GET", url)
    click.echo(f"\nplain lookup: {answer.status} {answer.content.decode()}")
    if answer.status != 200:
        raise SystemExit("the lookup failed")


if __name__ == "__main__":
    main()
