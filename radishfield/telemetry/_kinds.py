"""What was asked for, as metrics tell it apart."""

import enum


class RequestKind(enum.StrEnum):
    """What was asked for; ``UNREAD`` was refused before that was known."""

    MODEL = "model"
    SERVICE = "service"
    UNREAD = "unread"
