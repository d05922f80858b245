"""Where the events of a stream end, whatever its line ends and however it is cut."""

import pytest

from eelgrasslock.responses.event_counter import EventCounter

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


class TestIds:
    """The numbers of the events."""

    STREAM = b"id: 4\ndata: id: 9\n\ndata: no id\n\nid:12\r\ndata: b\r\n\r\n"

    def test_the_last_id_is_that_of_an_event_that_has_ended(self):
        counter = counter_of(self.STREAM, b"id: 13\ndata: c")
        assert (counter.last_id, counter.is_ordered) == (12, True)

    def test_ids_are_read_at_any_split(self):
        for split in range(len(self.STREAM)):
            counter = counter_of(self.STREAM[:split], self.STREAM[split:])
            assert (counter.last_id, counter.is_ordered) == (12, True)

    @pytest.mark.parametrize("next_id", [b"11", b"12"])
    def test_an_id_that_does_not_rise_is_out_of_order(self, next_id):
        counter = counter_of(self.STREAM, b"id: " + next_id + b"\n\n")
        assert not counter.is_ordered

    @pytest.mark.parametrize("id", [b"", b"x", b"-1", b"9" * 500])
    def test_an_id_that_is_no_number_counts_for_none(self, id):
        counter = counter_of(self.STREAM, b"id: " + id + b"\n\n")
        assert (counter.last_id, counter.is_ordered) == (12, True)
