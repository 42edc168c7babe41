"""The tasks of one connection's applications, and the messages that they read."""

from collections import deque

import trio
from hypercorn.trio.task_group import TaskGroup, _handle

MAX_UNREAD_MESSAGES = 2
"""Parts of a body that wait for an application to read them."""


class Inbox:
    """Messages that an application has not read yet.

    Parts of a body wait until there are few.  The end of the exchange never does: an
    application sends it to itself as it ends, whatever it has left unread.  What is
    sent to an application that has ended is dropped.
    """

    __slots__ = ("_changed", "_is_closed", "_messages")

    def __init__(self):
        self._changed = trio.Event()
        self._is_closed = False
        self._messages: deque[dict] = deque()

    async def put(self, message: dict) -> None:
        """Add a message."""
        if message["type"] == "http.request":
            while len(self._messages) >= MAX_UNREAD_MESSAGES and not self._is_closed:
                await self._changed.wait()
        if not self._is_closed:
            self._messages.append(message)
            self._wake()

    async def receive(self) -> dict:
        """Return the next message."""
        while not self._messages:
            await self._changed.wait()
        message = self._messages.popleft()
        self._wake()
        return message

    def close(self) -> None:
        """Drop what is unread, and what is still sent."""
        self._is_closed = True
        self._messages.clear()
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


class AppTasks(TaskGroup):
    """Starts the applications of one connection."""

    async def spawn_app(self, app, config, scope, send):
        """Start an application; return how messages are sent to it."""
        inbox = Inbox()
        self._nursery.start_soon(self._run_app, app, config, scope, inbox, send)
        return inbox.put

    async def _run_app(self, app, config, scope, inbox: Inbox, send) -> None:
        to_thread, from_thread = trio.to_thread.run_sync, trio.from_thread.run
        try:
            await _handle(
                app, config, scope, inbox.receive, send, to_thread, from_thread
            )
        finally:
            inbox.close()
