"""A registry of services by name, and the order in which they start and stop."""

from typing import Protocol, TypeVar

import trio

T = TypeVar("T")


class ServiceMissingError(LookupError):
    """Raised when a service is looked up that is not registered: a wiring defect."""


class Service(Protocol):
    """A service that the kernel runs.

    ``run`` reports through ``task_status.started()`` once the service can be
    used, then works until cancelled.
    """

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Work until cancelled."""


class Kernel:
    """Services by name, started in the order of registration.

    An orderly stop takes two steps.  `drain` lets each service finish what is in
    flight, the latest registered first, so that no service loses one that it still
    depends on.  Cancelling `run` then ends whatever remains, all at once.
    """

    __slots__ = ("_services_by_name",)

    def __init__(self):
        self._services_by_name: dict[str, object] = {}

    def register(self, name: str, service: object) -> None:
        """Add a service; to register a name twice is a defect and raises ValueError."""
        if name in self._services_by_name:
            raise ValueError(f"service {name!r} is already registered")
        self._services_by_name[name] = service

    def find(self, name: str, kind: type[T]) -> T:
        """Return the service registered under the name."""
        service = self._services_by_name.get(name)
        if not isinstance(service, kind):
            raise ServiceMissingError(f"no {kind.__name__} named {name!r}")
        return service

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED):
        """Start every service that has a ``run``, and wait until cancelled."""
        async with trio.open_nursery() as nursery:
            for service in self._services_by_name.values():
                if hasattr(service, "run"):
                    await nursery.start(service.run)
            task_status.started()
            await trio.sleep_forever()

    async def drain(self) -> None:
        """Drain every running service that has a ``drain``, the latest first.

        Registered objects without ``run`` are not services; their ``drain`` does
        something else, such as an operator's action on a target.
        """
        for service in reversed(self._services_by_name.values()):
            if hasattr(service, "run") and hasattr(service, "drain"):
                await service.drain()
