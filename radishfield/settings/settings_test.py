"""Tests of settings files: each fault is one line that states what is allowed."""

from dataclasses import dataclass
from typing import Annotated

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from msgspec import Meta

from radishfield.core import Link, Priority, ResultCode, TargetKind
from radishfield.settings import EntrySettings, settings_text

COMPLETE_FILE = """
[host]
id = entry-1
zone = duluth-hall
[caller]
bind = 127.0.0.1:0
max_body = 64KiB
body_timeout = 250ms
[peers]
bind = 127.0.0.1:7000
seeds = 127.0.0.1:7001, 127.0.0.1:7002
keys = new:00112233445566778899aabbccddeeff, old:ffeeddccbbaa99887766554433221100
active_key = new
[operator]
bind = 127.0.0.1:9000
token = a-token-of-enough-length
[targets]
engine-0 = 127.0.0.1:9001 duluth-hall small 0 4 16 120 8
portal = 127.0.0.1:9002 duluth-hall portal 0 0 0 0 4 service
[profiles]
review = small priority=high deadline=90s idempotent=no
[links]
duluth-hall>toledo-hall = 0.5ms 20000
"""


def read(tmp_path, text, **extra):
    path = tmp_path / "entry.ini"
    path.write_text(text, encoding="utf-8")
    return EntrySettings.from_file(str(path), extra)


def test_a_complete_file_is_read_with_units_and_defaults(tmp_path):
    settings = read(tmp_path, COMPLETE_FILE).ok
    assert settings.caller.max_body_bytes == 64 << 10
    assert settings.caller.body_timeout_s == 0.25
    assert settings.caller.max_in_flight == 1024
    assert [key.id for key in settings.peers.keys] == ["new", "old"]
    assert settings.targets[0].layers.end == 4
    assert settings.targets[1].kind is TargetKind.SERVICE
    assert settings.profiles[0].priority is Priority.HIGH
    assert settings.profiles[0].deadline_s == 90
    assert not settings.profiles[0].idempotent
    assert settings.links == (Link("duluth-hall", "toledo-hall", 0.0005, 20000.0),)


def test_printed_settings_read_back_equal_and_hide_secrets(tmp_path):
    settings = read(tmp_path, COMPLETE_FILE).ok
    printed = settings_text(settings)
    assert "aabbccddeeff" not in printed
    assert "a-token-of-enough-length" not in printed
    for secret, line in (
        ("token = (hidden)", "token = a-token-of-enough-length"),
        ("keys = (hidden)", COMPLETE_FILE.split("\n")[11]),
    ):
        printed = printed.replace(secret, line)
    assert read(tmp_path, printed).ok == settings


@pytest.mark.parametrize(
    ("text", "code", "words"),
    [
        ("[caller]\nmax_bdy = 1KiB", ResultCode.SETTING_UNKNOWN, "max_bdy"),
        ("[calller]\nbind = 127.0.0.1:1", ResultCode.SETTING_UNKNOWN, "[calller]"),
        ("[DEFAULT]\nbind = 127.0.0.1:1", ResultCode.SETTING_UNKNOWN, "[DEFAULT]"),
        ("[caller]\nbody_timeout = 10", ResultCode.SETTING_TYPE, "units ms, s, m, h"),
        ("[caller]\nbody_timeout = 10KiB", ResultCode.SETTING_TYPE, "body_timeout"),
        ("[caller]\nbody_timeout = 5m", ResultCode.SETTING_RANGE, "from 1ms to 1m"),
        ("[caller]\nmax_body = 1B", ResultCode.SETTING_RANGE, "from 1KiB to 64MiB"),
        ("[caller]\nbind = localhost:80", ResultCode.SETTING_TYPE, "IP address"),
        ("[caller]\nbind =", ResultCode.SETTING_MISSING, "IP address"),
        ("[caller]\nmax_in_flight = many", ResultCode.SETTING_TYPE, "whole number"),
        ("[caller]\nmax_in_flight = 0", ResultCode.SETTING_RANGE, "from 1 to 1000000"),
        ("[platform]\nmax_calls_per_s = nan", ResultCode.SETTING_RANGE, "from 0.1"),
        ("[log]\nlevel = loud", ResultCode.SETTING_TYPE, "debug, info"),
        ("[caller]\ntls_cert = /no/file", ResultCode.SETTING_FILE_MISSING, "/no/file"),
        ("[peers]\nkeys = a:00", ResultCode.SETTING_TYPE, "id:hex"),
        ("[leases]\nrenew = 9s", ResultCode.SETTING_RANGE, "half of duration"),
        ("[peers]\nbind = 127.0.0.1:1", ResultCode.SETTING_MISSING, "active_key"),
        ("[operator]\nbind = 127.0.0.1:1", ResultCode.SETTING_MISSING, "token"),
        ("[targets]\nx = 127.0.0.1:1 a m 4 2 8", ResultCode.SETTING_TYPE, "ADDRESS"),
        ("[links]\na-b = 1ms 20", ResultCode.SETTING_TYPE, "FROM>TO"),
        ("[links]\na>b = 1 20", ResultCode.SETTING_TYPE, "FROM>TO"),
        ("[profiles]\nx = m priority=top", ResultCode.SETTING_TYPE, "priority="),
        ("no section", ResultCode.SETTING_TYPE, "INI"),
        ("[host]\nid = a\nid = b", ResultCode.SETTING_TYPE, "once"),
        ("[host]\nid = two words", ResultCode.SETTING_RANGE, "letters"),
    ],
)
def test_a_fault_is_one_line_with_file_section_key_and_what_is_allowed(
    tmp_path, text, code, words
):
    (problem,) = read(tmp_path, text).error
    assert problem.code is code
    assert problem.detail.startswith(str(tmp_path / "entry.ini") + ": [")
    assert words in problem.detail
    assert "allowed:" in problem.detail
    assert "\n" not in problem.detail


def test_all_faults_are_returned_together(tmp_path):
    text = "[host]\nidd = a\n[caller]\nmax_in_flight = x\nmax_body = 1\n[nope]\n"
    assert len(read(tmp_path, text).error) == 4


def test_a_missing_file_is_a_fault():
    (problem,) = EntrySettings.from_file("/no/such/file.ini").error
    assert problem.code is ResultCode.SETTING_FILE_MISSING


@dataclass(slots=True, frozen=True)
class SchedulerSettings:
    share: Annotated[float, Meta(ge=0, le=1)] = 0.5
    attempts: int = 4
    hedging: bool = False


def test_another_package_registers_its_section_by_name(tmp_path):
    text = "[scheduler]\nshare = 0.25\nhedging = yes"
    settings = read(tmp_path, text, scheduler=SchedulerSettings).ok
    assert settings.section("scheduler", SchedulerSettings) == SchedulerSettings(
        0.25, 4, True
    )
    assert (
        read(tmp_path, "", scheduler=SchedulerSettings).ok.section(
            "scheduler", SchedulerSettings
        )
        == SchedulerSettings()
    )
    (problem,) = read(
        tmp_path, "[scheduler]\nshare = 2", scheduler=SchedulerSettings
    ).error
    assert problem.code is ResultCode.SETTING_RANGE


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["caller", "peers", "targets", "profiles", "log", "x"]),
            st.text(max_size=12),
            st.text(max_size=30),
        ),
        max_size=6,
    )
)
@example([("caller", "bind", "[::1")])
@example([("caller", "tls_cert", "\x00")])
def test_no_text_makes_the_reader_raise(tmp_path_factory, entries):
    folder = tmp_path_factory.mktemp("settings")
    text = "".join(f"[{name}]\n{key} = {value}\n" for name, key, value in entries)
    path = folder / "entry.ini"
    path.write_bytes(text.encode("utf-8", "surrogatepass"))
    for problem in EntrySettings.from_file(str(path)).swap().default_value([]):
        assert 7000 < problem.code < 8000
        assert "\n" not in problem.detail
