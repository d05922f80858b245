"""The end of a turn is held back; all else is passed on."""

import pytest

from eelgrasslock.conversations.event_data import StreamEvent
from eelgrasslock.turns.turn_recorder import TurnRecorder

HEADERS = (("Request-Id", "r1"),)


class Writer:
    """A `ResponseWriter` that takes down what it is told."""

    def __init__(self):
        self.started = False
        self.told = []

    async def send(self, status, headers, body):
        self.told.append(("send", status, body))

    async def start(self, status, headers, content_length):
        self.started = True
        self.told.append(("start", status, content_length))

    async def write(self, chunk):
        self.told.append(("write", chunk))

    async def finish(self):
        self.told.append(("finish",))


@pytest.fixture
def writer():
    return Writer()


class TestTurns:
    async def test_the_end_is_held_back(self, writer):
        recorder = TurnRecorder(writer, [])
        await recorder.start(200, HEADERS, 11)
        await recorder.write(b"data: a\n\n")
        await recorder.finish()
        assert recorder.is_complete
        assert writer.told == [("start", 200, None), ("write", b"data: a\n\n")]
        await recorder.finish_turn()
        assert writer.told[-1] == ("finish",)

    async def test_a_whole_success_is_a_turn_too(self, writer):
        recorder = TurnRecorder(writer, [])
        await recorder.send(200, HEADERS, b"data: a\n\n")
        assert recorder.is_complete
        assert ("finish",) not in writer.told

    async def test_events_of_attempts_before_come_first(self, writer):
        recorder = TurnRecorder(writer, [StreamEvent(1, b"a")])
        await recorder.start(200, HEADERS, None)
        await recorder.write(b"id: 2\ndata: b\n\n")
        assert recorder.output == b"a\nb\n"


class TestFailures:
    @pytest.mark.parametrize("status", [404, 500, 503])
    async def test_a_failure_is_no_turn(self, writer, status):
        recorder = TurnRecorder(writer, [])
        await recorder.start(status, HEADERS, 5)
        await recorder.write(b"wrong")
        await recorder.finish()
        assert not recorder.is_complete
        expected = [("start", status, 5), ("write", b"wrong"), ("finish",)]
        assert writer.told == expected

    async def test_a_whole_failure_is_sent_as_it_is(self, writer):
        recorder = TurnRecorder(writer, [])
        await recorder.send(500, HEADERS, b"wrong")
        assert writer.told == [("send", 500, b"wrong")]
        assert not recorder.is_complete
