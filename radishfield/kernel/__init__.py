"""Registry of services that look each other up by name and stop in order."""

from radishfield.kernel._boundary import WorkBoundary
from radishfield.kernel._kernel import Kernel, Service, ServiceMissingError

__all__ = ["Kernel", "Service", "ServiceMissingError", "WorkBoundary"]
