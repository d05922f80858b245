"""A fake scheduler whose assignments the test controls."""

from attrs import frozen

from eelgrasslock.exceptions import Refusal
from eelgrasslock.scheduling.calls import Assignment, Call


@frozen
class ExpiredCall:
    call: Call
    refusal: Refusal


class FakeScheduler:
    """Assigns the first endpoint that a call does not exclude.

    `free` calls may run at once. `expired` is the refusal of all waiting calls, if
    set. `delays` are the delays of the retries, in order; then there are none.
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
            allowed = [name for name in self.endpoints if name not in call.excluded]
            if not allowed:
                break
            del self.waiting[call.id]
            self.free -= 1
            started.append(_assignment(call, allowed[0]))
        return started

    def expire(self):
        if self.expired is None:
            return []
        expired = [ExpiredCall(call, self.expired) for call in self.waiting.values()]
        self.waiting.clear()
        return expired

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
