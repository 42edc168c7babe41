"""Tests that metrics hold the fleet's counters, by reason and from zero on."""

from radishfield.core import ResultCode
from radishfield.edges import HttpPlatform, PlatformSettings
from radishfield.scripts._fleet_metrics import PLATFORM_CODES, _watch_platform
from radishfield.telemetry import Telemetry


class FixedClock:
    def now(self):
        return 0.0


def test_faults_of_the_platform_are_counted_by_reason():
    telemetry = Telemetry()
    platform = HttpPlatform(PlatformSettings(), FixedClock())
    _watch_platform(telemetry, platform)
    platform.faults_by_code[ResultCode.PLATFORM_AMBIGUOUS] += 2
    lines = [
        line
        for line in telemetry.exposition().decode().splitlines()
        if line.startswith("radishfield_platform_faults_total{")
    ]
    assert len(lines) == len(PLATFORM_CODES)
    (ambiguous,) = [line for line in lines if "platform-ambiguous" in line]
    assert 'code="5003"' in ambiguous and ambiguous.endswith(" 2.0")
