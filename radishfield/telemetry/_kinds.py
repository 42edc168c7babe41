"""Kinds of requests that metrics distinguish."""

import enum


class RequestKind(enum.StrEnum):
    """Kind of a request; ``UNREAD`` means refused before the kind was known."""

    MODEL = "model"
    SERVICE = "service"
    UNREAD = "unread"
