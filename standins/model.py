"""The stand-in model: a chain of hashes, one for each layer, in order.

A layer that is skipped, doubled or run out of order changes the hidden state
and thus the word.  A test computes the expected answer with `expected_words`.
"""

from collections.abc import Sequence

import xxhash

WORDS = (
    "the",
    "platform",
    "train",
    "crowd",
    "north",
    "exit",
    "review",
    "prefix",
    "delegation",
    "record",
    "arrives",
    "holds",
    "moves",
    "late",
    "clear",
    "notice",
)


def first_hidden(model: str, prompt: str, committed: Sequence[str]) -> str:
    """Return the hidden state that enters layer 0 for the next token."""
    text = "\x1f".join((model, prompt, *committed))
    return xxhash.xxh64_hexdigest(text.encode())


def run_layers(hidden: str, first: int, end: int) -> str:
    """Pass a hidden state through the layers ``[first, end)``."""
    for layer in range(first, end):
        hidden = xxhash.xxh64_hexdigest(f"{hidden}:{layer}".encode())
    return hidden


def decode_word(hidden: str) -> str:
    """Return the word that the last layer's hidden state encodes.

    It ends with a blank, because an answer is the joined text of its tokens.
    """
    return WORDS[int(hidden, 16) % len(WORDS)] + " "


def expected_words(
    model: str, prompt: str, model_layers: int, count: int
) -> tuple[str, ...]:
    """Return the only correct answer to a prompt, ``count`` words long."""
    words: list[str] = []
    for _ in range(count):
        hidden = first_hidden(model, prompt, words)
        words.append(decode_word(run_layers(hidden, 0, model_layers)))
    return tuple(words)
