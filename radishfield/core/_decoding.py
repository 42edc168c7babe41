"""The exceptions by which decoders refuse what other programs have written."""

import msgspec

UNREADABLE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)
"""Beside its own errors, msgspec raises ``UnicodeDecodeError`` for bytes that are no
text, ``OverflowError`` for numbers that are too large and ``RecursionError`` for values
that are nested too deeply."""
