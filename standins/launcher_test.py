"""The whole path as separate processes, from the settings file to the answer."""

import pytest

from standins.fleet import THREE_ZONES, SmallFleet
from standins.launcher import ask, chat


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    small = SmallFleet(tmp_path_factory.mktemp("fleet"), THREE_ZONES)
    try:
        small.start()
        yield small
    finally:
        small.stop()


def test_every_zone_serves_a_whole_answer(fleet):
    for port in fleet.entry_ports:
        ask(port)


def test_unknown_profile_is_refused_with_its_number(fleet):
    told = chat(fleet.entry_ports[0], "nobody", "hello", 4)
    assert (told.status, told.code, told.outcome) == (404, "2003", "not-run")
