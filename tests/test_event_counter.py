"""Where the events of a stream end, whatever its line ends and however it is cut."""

import pytest

from eelgrasslock.gateway.event_counter import EventCounter

ENDS = ["\n", "\r\n", "\r"]


def counter_of(*parts):
    counter = EventCounter()
    for part in parts:
        counter.feed(part)
    return counter


@pytest.mark.parametrize("end", ENDS)
class TestEventCounter:
    def stream(self, end):
        text = "id: 1|data: a||: comment||id: 2|data: b||"
        return text.replace("|", end).encode()

    def test_counts_events_at_any_split(self, end):
        stream = self.stream(end)
        for split in range(len(stream) + 1):
            counter = counter_of(stream[:split], stream[split:])
            assert (counter.completed, counter.in_event) == (3, False)

    def test_counts_events_byte_by_byte(self, end):
        stream = self.stream(end)
        counter = counter_of(*(stream[n : n + 1] for n in range(len(stream))))
        assert (counter.completed, counter.in_event) == (3, False)

    def test_an_event_without_its_empty_line_has_not_ended(self, end):
        stream = self.stream(end)
        last_end = len(end.encode())
        for size in range(len(stream) - last_end, 0, -1):
            part = stream[:size]
            counter = counter_of(part)
            ended = part.endswith((end * 2).encode())
            ended |= end == "\r\n" and part.endswith(b"\r\n\r")
            assert counter.in_event is not ended
