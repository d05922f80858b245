"""A scheduler for tests that gives out what the test says."""

from attrs import frozen

from eelgrasslock.exceptions import Refusal
from eelgrasslock.scheduling.calls import Assignment, Call


@frozen
class ExpiredCall:
    call: Call
    refusal: Refusal


class FakeScheduler:
    """Gives endpoints in turn, those excluded left out.

    `free` calls may run at once; `expired` holds refusals for waiting calls;
    `delays` are given for the retries, in order, and then None.
    """

    def __init__(self, endpoints, free=100, delays=(0.0, 0.0)) -> None:
        self.endpoints = endpoints
        self.free = free
        self.delays = list(delays)
        self.refusal = None
        self.expired = None
        self.wake = None
        self.waiting = {}
        self.ends = []
        self.calls = []
        self.ended = []

    def end_program(self, program):
        self.ended.append(program)

    def submit(self, call):
        self.calls.append(call)
        if self.refusal is not None:
            raise self.refusal
        self.waiting[call.id] = call

    def withdraw(self, call_id):
        self.waiting.pop(call_id, None)

    def assign(self):
        started = []
        while self.waiting and self.free:
            call = next(iter(self.waiting.values()))
            left = [name for name in self.endpoints if name not in call.excluded]
            if not left:
                break
            del self.waiting[call.id]
            self.free -= 1
            started.append(_assignment(call, left[0]))
        return started

    def expire(self):
        if self.expired is None:
            return []
        given_up = [ExpiredCall(call, self.expired) for call in self.waiting.values()]
        self.waiting.clear()
        return given_up

    def finish(self, call_id, outcome, usage=None, retry_after=None):
        self.free += 1
        self.ends.append((call_id, outcome, retry_after))

    def progress(self, call_id, completion_tokens):
        pass

    def retry_delay(self, call, endpoint, attempt):
        return self.delays.pop(0) if self.delays else None

    def next_wake(self):
        return self.wake


def _assignment(call, endpoint):
    return Assignment(
        call=call,
        endpoint=endpoint,
        cached_tokens=0,
        predicted_seconds=0.0,
        reason="first in the list",
    )
