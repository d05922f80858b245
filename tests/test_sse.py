import pytest

from eelgrasslock.requests.sse import ServerEvent, encode_event, read_events


async def lines_of(text):
    for line in text.encode().splitlines(keepends=True):
        yield line


class TestReadEvents:
    @pytest.mark.parametrize(
        ("text", "events"),
        [
            ("data: a\n\n", [ServerEvent("a")]),
            ("id: 7\r\ndata: a\r\n\r\n", [ServerEvent("a", 7)]),
            ("data: a\ndata: b\n\n", [ServerEvent("a\nb")]),
            (": waiting\n\nretry: 5\ndata:a\n\n", [ServerEvent("a")]),
            ("id: x\ndata: a\n\ndata: b\n\n", [ServerEvent("a"), ServerEvent("b")]),
            ("data: whole\n\ndata: cut off", [ServerEvent("whole")]),
            ("", []),
        ],
    )
    async def test_yields_whole_events(self, text, events):
        assert [event async for event in read_events(lines_of(text))] == events

    async def test_reads_what_was_encoded(self):
        body = {"text": "ūdens\nline"}
        encoded = encode_event(body).decode()
        (event,) = [event async for event in read_events(lines_of(encoded))]
        assert event.data == '{"text":"\\u016bdens\\nline"}'
