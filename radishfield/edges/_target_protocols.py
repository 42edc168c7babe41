"""Registry of engine protocols by name; a new one takes one module and one line."""

from collections.abc import Callable

from expression import Error, Ok, Result

from radishfield.core import Clock, Fault, ResultCode, TargetPort, fault
from radishfield.edges._target import EngineTargets
from radishfield.edges._target_http import TargetTimeouts

TargetFactory = Callable[[TargetTimeouts, Clock], TargetPort]

_factories_by_protocol: dict[str, TargetFactory] = {}


def register_protocol(name: str, factory: TargetFactory) -> None:
    """Register a protocol; raise `ValueError` if its name is already registered."""
    if name in _factories_by_protocol:
        raise ValueError(f"protocol {name!r} is already registered")
    _factories_by_protocol[name] = factory


def targets_for(
    protocol: str, timeouts: TargetTimeouts, clock: Clock
) -> Result[TargetPort, Fault]:
    """Return the port for the protocol named in the settings."""
    factory = _factories_by_protocol.get(protocol)
    if factory is None:
        known = ", ".join(sorted(_factories_by_protocol))
        detail = f"engine protocol {protocol!r} is not one of: {known}"
        return Error(fault(ResultCode.SETTING_RANGE, detail))
    return Ok(factory(timeouts, clock))


register_protocol("lines-http", EngineTargets)
