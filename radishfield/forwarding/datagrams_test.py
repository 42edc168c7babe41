"""Tests of the socket between entry hosts."""

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
    """Return a socket on a port chosen by the kernel, and its address."""
    receiver = DatagramSocket("127.0.0.1:0", LIMIT)
    return receiver, receiver.address


def test_waiting_datagrams_are_read_in_one_turn(sender):
    # A host receives a hundred datagrams within 10 ms.  A turn of the event loop for
    # each of them would delay the events for callers behind all of them.
    async def scenario():
        receiver, address = open_receiver()
        with receiver:
            for number in range(100):
                sender.sendto(b"%d" % number, address)
            with trio.fail_after(2):
                return await receiver.receive()

    assert trio.run(scenario) == [b"%d" % number for number in range(100)]


def test_batch_size_is_limited_so_that_other_tasks_run(sender):
    async def scenario():
        receiver, address = open_receiver()
        with receiver:
            for _ in range(MAX_DATAGRAMS + 10):
                sender.sendto(b"x", address)
            with trio.fail_after(2):
                first = await receiver.receive()
                second = await receiver.receive()
            return len(first), len(second)

    first, second = trio.run(scenario)
    assert first == MAX_DATAGRAMS
    assert second == 10


def test_receiver_waits_for_the_first_datagram():
    async def scenario():
        receiver, _ = open_receiver()
        with receiver, trio.move_on_after(0.1) as waited:
            await receiver.receive()
        return waited.cancelled_caught

    assert trio.run(scenario)


def test_sends_to_all_and_counts_bytes(sender):
    receiver, _ = open_receiver()
    with receiver:
        receiver.send(b"abc", [sender.getsockname()] * 2)
        assert sender.recv(LIMIT) + sender.recv(LIMIT) == b"abcabc"
        assert receiver.sent_bytes == 6


def test_full_buffer_drops_and_counts_instead_of_waiting():
    # The link of a small host is full.  A task that waits for buffer space would
    # delay the statuses to all other hosts; the next status replaces a lost one.
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
