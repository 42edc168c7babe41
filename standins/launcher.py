"""Runs the demo or a serving fleet: ``python -m standins.launcher demo|serve``."""

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
READY_TEXT = "interrupt to stop"


@dataclass(slots=True, frozen=True)
class CallerResponse:
    """An entry host's response to one request of a caller."""

    status: int
    outcome: str
    code: str
    body: bytes
    system_id: str

    @property
    def text(self) -> str:
        """Return the text of the chat answer."""
        return msgspec.json.decode(self.body)["choices"][0]["message"]["content"]


def post(port: int, path: str, body: object, headers: dict[str, str]) -> CallerResponse:
    """Send one request to the caller listener of an entry host."""
    answer = httpcore.request(
        "POST",
        f"http://127.0.0.1:{port}{path}",
        headers=headers,
        content=msgspec.json.encode(body),
    )
    value_by_header = {
        name.decode().lower(): value.decode() for name, value in answer.headers
    }
    return CallerResponse(
        answer.status,
        value_by_header.get("x-outcome", ""),
        value_by_header.get("x-result-code", ""),
        answer.content,
        value_by_header.get("x-radishfield-id", ""),
    )


def chat(
    port: int, profile: str, prompt: str, tokens: int, key: str = ""
) -> CallerResponse:
    """Request one complete chat answer, without streaming."""
    messages = [{"role": "user", "content": prompt}]
    body = {"model": profile, "messages": messages, "max_tokens": tokens}
    headers = {"content-type": "application/json"}
    if key:
        headers["idempotency-key"] = key
    return post(port, "/v1/chat/completions", body, headers)


def expected_text(prompt: str, tokens: int) -> str:
    """Return the only correct answer of the stand-in model."""
    return "".join(expected_words(MODEL, prompt, MODEL_LAYERS, tokens))


def check_review(port: int, prompt: str = PROMPT, tokens: int = 16) -> str:
    """Send one request, check its answer and return it."""
    response = chat(port, "review", prompt, tokens)
    if response.status != 200 or response.text != expected_text(prompt, tokens):
        raise SystemExit(f"unexpected answer: {response}")
    return response.text


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
            _run_demo(fleet)
        finally:
            fleet.stop()
    click.echo("demo: every answer was complete and correct; all processes ended")


@main.command()
def serve():
    """Start three zones and leave them running until interrupted."""
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _exit_on_signal)
    with tempfile.TemporaryDirectory() as folder:
        fleet = SmallFleet(Path(folder), THREE_ZONES)
        try:
            fleet.start()
            _print_addresses(fleet)
            click.echo(READY_TEXT)
            signal.pause()
        finally:
            fleet.stop()


def _exit_on_signal(number: int, frame) -> None:
    """Raise SystemExit, since the default signal action leaves the fleet running."""
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


def _run_demo(fleet: SmallFleet) -> None:
    for entry in fleet.entries_by_id.values():
        _demo_review(fleet, entry)
    _demo_retry(fleet)
    _demo_lookup(fleet)


def _demo_review(fleet: SmallFleet, entry: EntryProcess) -> None:
    prompt = f"{PROMPT} ({entry.zone})"
    response = chat(entry.caller_port, "review", prompt, DEMO_TOKENS)
    click.echo(
        f"\n{entry.id}: review {response.outcome} ({response.code}): {response.text}"
    )
    if response.text != expected_text(prompt, DEMO_TOKENS):
        raise SystemExit("unexpected answer")
    _print_stages(fleet, response.system_id)


def _print_stages(fleet: SmallFleet, system_id: str) -> None:
    """Print which stages ran the request's tokens, from the engines' records."""
    for target in fleet.targets_by_id.values():
        if target.model != MODEL:
            continue
        record = httpcore.request("GET", f"http://{target.address}/control/record")
        steps = msgspec.json.decode(record.content, type=Record).steps
        positions = [step.position for step in steps if step.request_id == system_id]
        if positions:
            span = f"{min(positions)}..{max(positions)}"
            click.echo(f"  {target.id:<26} tokens {span}")


def _demo_retry(fleet: SmallFleet) -> None:
    first, second = list(fleet.entries_by_id.values())[:2]
    original = chat(first.caller_port, "draft", PROMPT, DEMO_TOKENS, key="ticket-4711")
    retry = chat(second.caller_port, "draft", PROMPT, DEMO_TOKENS, key="ticket-4711")
    click.echo(
        f"\ndraft, may not run twice, at {first.id}: "
        f"{original.outcome} ({original.code})"
    )
    click.echo(f"its retry at {second.id}: {retry.outcome} ({retry.code})")
    if original.text != retry.text:
        raise SystemExit("the retry got a different answer")


def _demo_lookup(fleet: SmallFleet) -> None:
    port = fleet.entry_ports[-1]
    url = f"http://127.0.0.1:{port}/v1/services/lookup/lookup/AS64500"
    answer = httpcore.request("GET", url)
    click.echo(f"\nplain lookup: {answer.status} {answer.content.decode()}")
    if answer.status != 200:
        raise SystemExit("the lookup failed")


if __name__ == "__main__":
    main()
