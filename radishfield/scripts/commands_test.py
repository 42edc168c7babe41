"""Tests of the command line against the operators' edge over real connections."""

import json
import socket
import threading
from pathlib import Path

import pytest
import trustme
from click.testing import CliRunner

from radishfield.core import HELP_BY_CODE, ResultCode
from radishfield.edges.caller_wire_test import served
from radishfield.edges.operator_test import TOKEN, MemoryFleet, make_app
from radishfield.scripts import main
from radishfield.scripts._codes import markdown_table
from radishfield.telemetry import RecordKind, RequestRecords

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"


def strip_scheme(address):
    return address.removeprefix("http://")


@pytest.fixture
def token_file(tmp_path):
    path = tmp_path / "token"
    path.write_text(TOKEN + "\n")
    return str(path)


def run(address, token_file, *arguments):
    environment = {
        "RADISHFIELD_OPERATOR": address,
        "RADISHFIELD_TOKEN_FILE": token_file,
    }
    return CliRunner().invoke(main, arguments, env=environment)


def closed_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def test_an_operator_publishes_changes_shows_drains_and_explains(token_file):
    records = RequestRecords()
    records.open("inside", "mine", "default", "review", 1.0)
    records.note("inside", 1.5, RecordKind.DISPATCHED, "shortest", ("e0", "e1"), 1)
    with served(make_app(MemoryFleet(), records)) as url:
        address = strip_scheme(url)

        def run_ok(*arguments):
            result = run(address, token_file, *arguments)
            assert result.exit_code == 0, result.output
            return result.output

        run_ok("profiles", "publish", "review", "--model", "small", "--not-idempotent")
        run_ok("profiles", "change", "review", "--deadline-s", "60")
        shown = json.loads(run_ok("profiles", "show", "review", "--json"))
        assert (shown["version"], shown["deadline_s"]) == (2, 60)
        assert not shown["idempotent"]
        assert "a: in force (2 of 3 hosts answered)" in run_ok(
            "profiles", "show", "review"
        )
        assert "review version 2" in run_ok("profiles", "list")
        assert "drained" in run_ok("drain", "zone", "toledo-hall")
        assert "again" in run_ok("undrain", "zone", "toledo-hall")
        add = ["targets", "add", "e9", "--host", "h", "--zone", "a", "--model", "small"]
        add += ["--address", "127.0.0.1:9", "--layers", "0:4", "--model-layers", "16"]
        assert "layers 0:4" in run_ok(*add)
        assert "entry-1 in a" in run_ok("status")
        # The first host cannot be reached; the next one has the record.
        unreachable = closed_address()
        explained = run_ok("explain", "mine", "--operator", f"{unreachable},{address}")
        assert "+0.500 s dispatched attempt 1 on e0 > e1 (shortest)" in explained
        assert "RETIRED" in run_ok("profiles", "retire", "review")


def test_exit_codes_distinguish_refusal_conflict_and_unreachable(token_file, tmp_path):
    with served(make_app()) as url:
        address = strip_scheme(url)
        publish = ("profiles", "publish", "review", "--model", "small")
        assert run(address, token_file, *publish).exit_code == 0
        conflict = run(address, token_file, *publish)
        assert conflict.exit_code == 3
        assert "7006 CHANGE_CONFLICT: the name is taken" in conflict.output
        missing = run(address, token_file, "profiles", "show", "nothing")
        assert missing.exit_code == 1
        assert "5006 OBJECT_NOT_FOUND" in missing.output
        wrong = tmp_path / "wrong"
        wrong.write_text("guess")
        denied = run(address, str(wrong), "status", "--json")
        assert denied.exit_code == 1
        assert json.loads(denied.output)["code"] == int(ResultCode.UNAUTHORIZED)
    assert run(closed_address(), token_file, "status").exit_code == 4
    assert run("x", str(tmp_path / "none"), "status").exit_code == 2


def test_a_lost_answer_to_a_change_ends_as_unknown(token_file):
    """The command reports that the change may have taken effect.

    The host closes the connection after it has read the change, so that it is unknown
    whether the change was made; sending it to another host could make it twice.
    """
    with socket.create_server(("127.0.0.1", 0)) as server:

        def read_and_close():
            connection, _ = server.accept()
            with connection:
                connection.recv(4096)

        thread = threading.Thread(target=read_and_close)
        thread.start()
        address = f"127.0.0.1:{server.getsockname()[1]}"
        result = run(f"{address},{closed_address()}", token_file, "drain", "zone", "a")
        thread.join(10)
    assert result.exit_code == 5
    assert "7010 CHANGE_AMBIGUOUS" in result.output


def test_commands_use_tls_and_trust_only_the_given_authority(token_file, tmp_path):
    authority, listener = str(tmp_path / "ca.pem"), str(tmp_path / "listener.pem")
    ca = trustme.CA()
    ca.cert_pem.write_to_path(authority)
    issued = ca.issue_cert("127.0.0.1")
    issued.private_key_and_cert_chain_pem.write_to_path(listener)
    with served(make_app(), listener, listener) as url:
        assert url.startswith("https://")
        address = url.removeprefix("https://")
        trusted = run(address, token_file, "status", "--tls-ca", authority)
        assert trusted.exit_code == 0, trusted.output
        assert run(address, token_file, "status").exit_code == 4


def test_settings_are_checked_and_shown(tmp_path):
    path = tmp_path / "entry.ini"
    path.write_text("[host]\nidd = a\n[caller]\nmax_in_flight = 0\n")
    checked = CliRunner().invoke(main, ["settings", "check", str(path)])
    assert checked.exit_code == 2
    assert [line[:4] for line in checked.output.splitlines()] == ["7001", "7002"]
    path.write_text("[host]\nid = entry-7\n")
    shown = CliRunner().invoke(main, ["settings", "show", str(path)])
    assert "id = entry-7" in shown.output
    assert "body_timeout = 10s" in shown.output


def test_every_code_has_help_and_the_page_holds_the_same_table():
    assert set(HELP_BY_CODE) == set(ResultCode)
    page = (DOCS / "RESULT-CODES.md").read_text()
    assert markdown_table() in page, "insert output of `radishfield codes --markdown`"


def test_the_operators_page_holds_every_setting():
    table = CliRunner().invoke(main, ["settings", "table"]).output.strip()
    page = (DOCS / "OPERATIONS.md").read_text()
    assert table in page, "insert output of `radishfield settings table`"


def test_help_of_every_command_has_an_example():
    def leaves(command, path):
        for name, inner in getattr(command, "commands", {}).items():
            yield from leaves(inner, (*path, name))
        if not hasattr(command, "commands"):
            yield path

    for path in leaves(main, ()):
        result = CliRunner().invoke(main, [*path, "--help"])
        assert result.exit_code == 0
        assert "Example" in result.output and f"radishfield {path[0]}" in result.output
