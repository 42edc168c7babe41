"""Tests of the messages between hosts, of one build or of two."""

import uuid
import zlib

import msgspec
import pytest

from radishfield.forwarding._peer_messages import (
    DATAGRAM_BYTES,
    MAX_CONFIG_BYTES,
    PeerConfig,
    PeerStatus,
    RelayOffer,
    config_datagram,
    config_spec,
    decoder,
    encoder,
)
from radishfield.routing import Position


def test_configuration_is_received_as_it_was_sent():
    spec = {"version": 3, "routes": [{"name": f"r{n}"} for n in range(200)]}
    data = config_datagram(3, Position(2, 90), spec)
    assert len(data) < DATAGRAM_BYTES
    message = decoder.decode(data)
    assert (message.version, message.era, message.revision) == (3, 2, 90)
    assert config_spec(message) == spec


@pytest.mark.parametrize(
    "spec", [{"keys": [uuid.uuid4().hex for _ in range(900)]}, {"n": 2**80}]
)
def test_configuration_that_fits_no_datagram_is_not_encoded(spec):
    assert config_datagram(3, Position(2, 90), spec) is None


@pytest.mark.parametrize(
    "body",
    [
        b"no deflated text",
        zlib.compress(b"x" * 100)[:-5],
        zlib.compress(b"\x00" * (MAX_CONFIG_BYTES + 1)),
        zlib.compress(b"\xc1"),
    ],
)
def test_damaged_configuration_is_rejected_with_bounded_memory(body):
    with pytest.raises(ValueError):
        config_spec(PeerConfig(3, 90, body))


def test_statuses_of_hosts_that_relay_nothing_yet_are_read_and_theirs_of_this_one():
    """Guards against a fleet of two builds whose hosts do not hear each other."""
    fields = ["h1", "a", "10.0.0.1:1", [], [], [], [], 1.0, 3, 0.1, 0.1, [], [], []]
    older = msgspec.msgpack.encode(["status", *fields])
    read = decoder.decode(older)
    assert read.host_id == "h1" and read.relay is RelayOffer.NONE

    class OlderStatus(msgspec.Struct, array_like=True, tag="status"):
        host_id: str
        zone: str

    newer = PeerStatus(*fields, relay=RelayOffer.SOUND)
    assert msgspec.msgpack.decode(encoder.encode(newer), type=OlderStatus).zone == "a"
    assert decoder.decode(encoder.encode(newer)).relay is RelayOffer.SOUND
