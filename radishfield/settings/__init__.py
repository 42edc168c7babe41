"""Reads an INI settings file into a typed data class for each section.

Every fault is one line that names the file, section, key and what is allowed.
All faults of a file are returned together, as values.
"""

from radishfield.core import lazy_getattr
from radishfield.settings._reader import EntrySettings
from radishfield.settings._router import (
    ROUTER_SECTIONS,
    AdmissionSettings,
    GossipSettings,
    LayoutSettings,
    PlainSettings,
    PromisesSettings,
    ReadinessSettings,
    Switch,
)
from radishfield.settings._sections import (
    CallerSettings,
    ClaimsSettings,
    DrainSettings,
    HostSettings,
    LeasesSettings,
    LogLevel,
    LogSettings,
    LogStream,
    MetricsExport,
    MetricsSettings,
    OperatorSettings,
    OrdersSettings,
    PeersSettings,
    PlatformSettings,
    ResourcesSettings,
)
from radishfield.settings._units import PeerKey

__getattr__ = lazy_getattr(
    {
        "settings_table": "radishfield.settings._printer",
        "settings_text": "radishfield.settings._printer",
    }
)

__all__ = [
    "ROUTER_SECTIONS",
    "AdmissionSettings",
    "CallerSettings",
    "ClaimsSettings",
    "DrainSettings",
    "EntrySettings",
    "HostSettings",
    "LeasesSettings",
    "LogLevel",
    "LogSettings",
    "LogStream",
    "MetricsExport",
    "MetricsSettings",
    "OperatorSettings",
    "OrdersSettings",
    "PeerKey",
    "PeersSettings",
    "PlatformSettings",
    "LayoutSettings",
    "PlainSettings",
    "PromisesSettings",
    "ReadinessSettings",
    "ResourcesSettings",
    "Switch",
    "GossipSettings",
    "settings_table",
    "settings_text",
]
