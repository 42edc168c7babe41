"""Tests of taking JSON text apart."""

import json

from hypothesis import given
from hypothesis import strategies as st

from radishfield.platform._json_parts import (
    readable_text,
    split_elements,
    split_members,
)

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)
INDENTS = st.sampled_from([None, 2])


@given(st.dictionaries(st.text(), VALUES), INDENTS, st.booleans())
def test_members_of_an_object_are_those_of_the_decoder(value, indent, ascii_only):
    text = json.dumps(value, indent=indent, ensure_ascii=ascii_only)
    parts = split_members(text.encode())
    assert {name: json.loads(part) for name, part in parts.items()} == value


@given(st.lists(VALUES), INDENTS)
def test_elements_of_an_array_are_those_of_the_decoder(value, indent):
    parts = split_elements(json.dumps(value, indent=indent).encode())
    assert [json.loads(part) for part in parts] == value


@given(st.binary())
def test_taking_apart_never_raises(text):
    for part in (text, b"{" + text + b"}", b"[" + text + b"]"):
        split_members(part)
        split_elements(part)
        readable_text(part)


def test_text_that_is_no_object_has_no_members():
    for text in (b"", b"[]", b"{", b"{}}", b'{"a"}', b'{"a":1}{', b"null"):
        assert split_members(text) is None


def test_readable_text_replaces_what_can_not_be_read():
    assert readable_text(rb'"a\udcffb"') == "a\ufffdb"
    assert readable_text(b'"a\xffb"') == "a\ufffdb"
    assert readable_text(b"5") == ""
