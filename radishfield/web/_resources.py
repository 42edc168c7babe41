"""Reads how much memory and how many descriptors the process may take."""

import re
import resource
from pathlib import Path

import msgspec

from radishfield.telemetry import log_event

MEMORY_PATH = "/proc/meminfo"
UNKNOWN_MEMORY_BYTES = 256 << 20
"""Taken where the system does not report its memory."""
MAX_OPEN_FILES = 1 << 20
"""Taken where descriptors are unlimited."""
_TOTAL_LINE = re.compile(r"^MemTotal:\s+([0-9]{1,15}) kB$", re.MULTILINE)


class HostResources(msgspec.Struct, frozen=True):
    """What the process may take.

    Attributes
    ----------
    memory_bytes : int
        Memory beyond which the process is killed.
    open_files : int
        Descriptors that it may hold.
    """

    memory_bytes: int
    open_files: int

    @classmethod
    def from_system(cls, memory_bytes: int = 0, open_files: int = 0) -> "HostResources":
        """Return what is named, and for the rest what the system reports."""
        return cls(
            memory_bytes or _total_memory_bytes(), open_files or _descriptor_limit()
        )


def _total_memory_bytes() -> int:
    try:
        text = Path(MEMORY_PATH).read_text(encoding="ascii")
    except (OSError, UnicodeDecodeError) as problem:
        log_event("host.memory_unknown", detail=str(problem))
        return UNKNOWN_MEMORY_BYTES
    found = _TOTAL_LINE.search(text)
    return int(found[1]) << 10 if found else UNKNOWN_MEMORY_BYTES


def _descriptor_limit() -> int:
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_OPEN_FILES if limit == resource.RLIM_INFINITY else limit
