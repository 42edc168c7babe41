"""The thin path as separate processes: one request from end to end."""

from standins.launcher import SmallFleet, ask


def test_a_request_passes_four_engines_and_comes_back_whole(tmp_path):
    fleet = SmallFleet(tmp_path)
    try:
        fleet.start()
        ask(fleet.entry_ports[0])
    finally:
        fleet.stop()
