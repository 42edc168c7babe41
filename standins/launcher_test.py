"""Tests of a fleet of separate processes, from the settings file to the answer."""

import re
import signal
import socket
import subprocess
import sys

import pytest

from standins.fleet import THREE_ZONES, SmallFleet
from standins.launcher import READY_TEXT, chat, check_review


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    small = SmallFleet(tmp_path_factory.mktemp("fleet"), THREE_ZONES)
    try:
        small.start()
        yield small
    finally:
        small.stop()


def test_every_zone_serves_a_complete_answer(fleet):
    for port in fleet.entry_ports:
        check_review(port)


def test_unknown_profile_is_refused_with_its_result_code(fleet):
    response = chat(fleet.entry_ports[0], "nobody", "hello", 4)
    assert (response.status, response.code, response.outcome) == (
        404,
        "2003",
        "not-run",
    )


def test_serving_fleet_ends_with_its_launcher():
    """Ending `make serve` leaves no process of the fleet running.

    The launcher receives SIGTERM.  If the signal itself ended the launcher, its
    sixteen child processes would keep running and hold their ports.
    """
    command = [sys.executable, "-u", "-m", "standins.launcher", "serve"]
    launcher = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    printed = []
    for line in launcher.stdout:
        printed.append(line)
        if READY_TEXT in line:
            break
    launcher.send_signal(signal.SIGTERM)
    assert launcher.wait(timeout=60) == 0
    ports = re.findall(r"127\.0\.0\.1:(\d+)", "".join(printed))
    assert len(ports) > len(THREE_ZONES)
    for port in ports:
        with socket.socket() as probe:
            assert probe.connect_ex(("127.0.0.1", int(port))) != 0
