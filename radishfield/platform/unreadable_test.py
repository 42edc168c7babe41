"""Objects of another writer that can't be decoded, read again and again."""

import time

import msgspec
import pytest
import trio
from expression import Ok

from radishfield.platform import ObjectStore, _store
from radishfield.platform._json_parts import split_elements
from radishfield.platform._unreadable import MAX_BYTES, UnreadableObjects
from radishfield.routing import Position

DEPTH = 100_000
MAX_READ_S = 0.25
"""Processor time for a read, of the second in which an entry has to be known."""
DEEP_SPECS = {
    "arrays": b"[" * DEPTH + b"]" * DEPTH,
    "objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "both": b'[{"a[{":' * DEPTH + b"1" + b"}]" * DEPTH,
}


def item(name, spec, revision=5):
    return b'{"metadata":{"name":"%s","revision":%d},"spec":%s}' % (
        name,
        revision,
        spec,
    )


def page(*items, revision=9):
    return b'{"items":[%s],"currentRev":%d}' % (b",".join(items), revision)


def read(body, unreadable):
    found = _store._decode_page(unreadable.shorten(body), unreadable)
    return [_store._read_value(each, era=1) for each in found.ok.items]


@pytest.mark.parametrize("form", sorted(DEEP_SPECS))
def test_deep_object_is_taken_apart_once_while_it_stands(monkeypatch, form):
    """Guards against an event loop that is held up by each read of one odd entry."""
    split, splits = _store.split_elements, []
    monkeypatch.setattr(
        _store, "split_elements", lambda text: splits.append(text) or split(text)
    )
    unreadable = UnreadableObjects()
    good, deep = item(b"good", b'{"a":1}'), item(b"deep", DEEP_SPECS[form])
    first = read(page(good, deep), unreadable)
    for revision in range(10, 14):
        body = page(item(b"good", b'{"a":2}', revision), deep, revision=revision)
        values = read(body, unreadable)
        assert [value.name for value in values] == ["good", "deep"]
        assert values[1] == first[1]
        assert values[0].spec == {"a": 2}
    assert first[1].spec is None and first[1].position == Position(1, 5)
    assert len(splits) == 1


def test_object_that_is_written_again_is_read_again():
    """Guards against an entry that stays unreadable after it was mended."""
    unreadable = UnreadableObjects()
    deep = item(b"deep", DEEP_SPECS["arrays"])
    assert read(page(deep), unreadable)[0].spec is None
    assert read(page(item(b"deep", b"[1]", 6)), unreadable)[0].spec == [1]


def test_object_whose_content_can_be_read_keeps_it():
    """Guards against a content that is lost for metadata that can't be read."""
    unreadable = UnreadableObjects()
    spec = b'"' + b"x" * 1000 + b'"'
    odd = b'{"metadata":{"name":"odd","revision":-1},"spec":%s}' % spec
    deep = item(b"deep", DEEP_SPECS["arrays"])
    for _ in range(3):
        values = read(page(odd, deep), unreadable)
        assert values[0].spec == "x" * 1000 and values[1].spec is None


def test_kept_texts_are_bounded():
    """Guards against memory that grows with each version of an odd entry."""
    unreadable = UnreadableObjects()
    for number in range(40):
        unreadable.remember(b"%d" % number * (MAX_BYTES // 10), "name", number)
        kept = unreadable._short_by_text
        assert sum(map(len, kept)) == unreadable._bytes <= MAX_BYTES
    assert kept


def test_deep_value_beside_others_is_one_element():
    for spec in DEEP_SPECS.values():
        assert split_elements(b"[1, " + spec + b" ,2]") == [b"1", spec, b"2"]
    assert split_elements(b"[" + DEEP_SPECS["objects"][:-1] + b"]") is None


def test_short_object_is_of_the_same_name_and_revision():
    unreadable = UnreadableObjects()
    unreadable.remember(b"x" * 300, 'a"b', 7)
    short = msgspec.json.decode(unreadable.shorten(b"x" * 300))
    assert short == {"metadata": {"name": 'a"b', "revision": 7}}


class FixedCaller:
    """Answers each call with the same list of objects at a later revision."""

    def __init__(self, *items):
        self.items, self.calls = items, 0

    async def call(self, call, accepts):
        self.calls += 1
        return Ok(page(*self.items, revision=9 + self.calls))


def test_list_with_seven_deep_objects_is_read_within_a_tick_of_the_loop():
    """Guards against callers that wait while a list is taken apart again and again."""
    deep = b"[" * 300_000 + b"]" * 300_000
    odd = [item(b"odd%d" % number, deep) for number in range(7)]
    good = [item(b"t%d" % number, b'{"a":1}') for number in range(36)]

    async def main():
        store = ObjectStore(FixedCaller(*good, *odd))
        assert len((await store.list("servers")).ok.values) == 43
        started_at = time.process_time()
        for _ in range(5):
            assert len((await store.list("servers")).ok.values) == 43
        return (time.process_time() - started_at) / 5

    assert trio.run(main) < MAX_READ_S
