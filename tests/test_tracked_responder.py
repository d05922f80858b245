import json

import pytest

from eelgrasslock.exceptions import Refusal
from eelgrasslock.requests.tracked_responder import TrackedResponder

REFUSAL = Refusal("busy", "Come back.", 503, retry_after=2.0)


class Collected:
    def __init__(self):
        self.status = None
        self.body = b""
        self.ended = False

    async def start(self, status, headers):
        assert self.status is None
        self.status = status

    async def write(self, chunk):
        self.body += chunk

    async def finish(self):
        self.ended = True


class TestRefuse:
    async def test_answers_where_nothing_was_sent(self):
        collected = Collected()
        await TrackedResponder(collected).refuse(REFUSAL)
        assert collected.status == 503
        assert json.loads(collected.body)["error"]["code"] == "busy"
        assert collected.ended

    async def test_a_part_is_never_ended_as_if_it_were_whole(self):
        collected = Collected()
        tracked = TrackedResponder(collected)
        await tracked.start(200, {})
        await tracked.write(b"half")
        with pytest.raises(Refusal):
            await tracked.refuse(REFUSAL)
        assert collected.body == b"half"
        assert not collected.ended

    async def test_an_ended_answer_stays_as_it_is(self):
        collected = Collected()
        tracked = TrackedResponder(collected)
        await tracked.start(200, {})
        await tracked.finish()
        await tracked.refuse(REFUSAL)
        assert collected.body == b""
