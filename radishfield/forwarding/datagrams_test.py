"""How the socket between hosts handles many datagrams."""

import socket

import pytest
import trio

from radishfield.forwarding._datagrams import MAX_DATAGRAMS, DatagramSocket

LIMIT = 2048


@pytest.fixture
def sender():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as opened:
        opened.bind(("127.0.0.1", 0))
        yield opened


def open_receiver():
    """Return a socket on a port that the kernel picks, and its address."""
    receiver = DatagramSocket("127.0.0.1:0", LIMIT)
    return receiver, receiver.address


def test_datagrams_of_a_moment_are_read_in_one_turn(sender):
    # A host hears a hundred datagrams in the same hundredth of a second.  One turn
    # of the event loop for each would delay callers' events behind all of them.
    async def scene():
        receiver, address = open_receiver()
        with receiver:
            for number in range(100):
                sender.sendto(b"%d" % number, address)
            with trio.fail_after(2):
                return await receiver.receive()

    assert trio.run(scene) == [b"%d" % number for number in range(100)]


def test_row_is_cut_so_that_other_tasks_get_their_turn(sender):
    async def scene():
        receiver, address = open_receiver()
        with receiver:
            for _ in range(MAX_DATAGRAMS + 10):
                sender.sendto(b"x", address)
            with trio.fail_after(2):
                first = await receiver.receive()
                second = await receiver.receive()
            return len(first), len(second)

    first, second = trio.run(scene)
    assert first == MAX_DATAGRAMS
    assert second == 10


def test_receiver_waits_for_the_first_datagram():
    async def scene():
        receiver, _ = open_receiver()
        with receiver, trio.move_on_after(0.1) as waited:
            await receiver.receive()
        return waited.cancelled_caught

    assert trio.run(scene)


def test_sends_to_all_and_counts_bytes(sender):
    receiver, _ = open_receiver()
    with receiver:
        receiver.send(b"abc", [sender.getsockname()] * 2)
        assert sender.recv(LIMIT) + sender.recv(LIMIT) == b"abcabc"
        assert receiver.sent_bytes == 6


def test_full_buffer_drops_and_counts_instead_of_waiting():
    # The link of a small host is full.  A task that waits for room would hold the
    # statuses of all other hosts; the next status replaces the one that is lost.
    class FullSocket:
        def sendto(self, data, address):
            raise BlockingIOError

        def close(self):
            pass

    receiver, _ = open_receiver()
    with receiver:
        receiver._socket.close()
        receiver._socket = FullSocket()
        receiver.send(b"abc", [("127.0.0.1", 9)] * 3)
        assert (receiver.sent_bytes, receiver.dropped) == (0, 3)
