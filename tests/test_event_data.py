"""The data of events, whatever their framing and however they are split."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eelgrasslock.conversations.event_data import EventDataReader, StreamEvent

STREAMS = [
    (b"id: 1\ndata: a\n\n", [(1, b"a")]),
    (b"data: a\ndata: b\n\n", [(None, b"a\nb")]),
    (b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", [(1, b"a"), (2, b"b")]),
    (b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r", [(1, b"a"), (2, b"b")]),
    (b"data:a\n\ndata:  b\n\n", [(None, b"a"), (None, b" b")]),
    (b"id: 1\ndata\n\n", [(1, b"")]),
    (b"id: 1\ndata:\n\n", [(1, b"")]),
    (b"id: 1\ndata:\ndata:\n\n", [(1, b"\n")]),
    (b": a comment\n\nid: 1\ndata: a\n\n", [(1, b"a")]),
    (b"id: 1\n\ndata: a\n\n", [(1, b"a")]),
    (b"weight-versions: 3\nid: 7\nevent: x\ndata: a\nretry: 5\n\n", [(7, b"a")]),
    (b"data: a: b\n\n", [(None, b"a: b")]),
    (b"\xef\xbb\xbfdata: a\n\n", [(None, b"a")]),
    (b"data: \xef\xbb\xbfa\n\n", [(None, b"\xef\xbb\xbfa")]),
    (b"data: \x0b\x0c\x1c\xc2\x85\n\n", [(None, b"\x0b\x0c\x1c\xc2\x85")]),
    (b"data: a\n\ndata: b\n", [(None, b"a")]),
    (b"", []),
]


def read(*chunks):
    reader = EventDataReader()
    for chunk in chunks:
        reader.feed(chunk)
    return reader.events


class TestFraming:
    @pytest.mark.parametrize(("stream", "expected"), STREAMS)
    def test_events_in_one_chunk(self, stream, expected):
        assert read(stream) == [StreamEvent(*one) for one in expected]

    @pytest.mark.parametrize(("stream", "expected"), STREAMS)
    def test_events_byte_by_byte(self, stream, expected):
        chunks = [stream[place : place + 1] for place in range(len(stream))]
        assert read(*chunks) == [StreamEvent(*one) for one in expected]

    @given(st.lists(st.sampled_from(STREAMS[:7]), max_size=4), st.data())
    def test_events_in_any_chunks(self, streams, data):
        whole = b"".join(stream for stream, _ in streams)
        places = data.draw(st.lists(st.integers(0, len(whole)), max_size=8))
        edges = [0, *sorted(places), len(whole)]
        chunks = [whole[a:b] for a, b in itertools.pairwise(edges)]
        assert read(*chunks) == read(whole)
