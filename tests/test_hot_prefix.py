"""Calls that share one prompt prefix spread over the endpoints while it is hot."""

import heapq
import random
from collections import Counter

import pytest

from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import CallOutcome
from scheduler_factory import make_call, make_scheduler

ENGINES = 24
SLOTS = 8
PREFIXES = 8
PREFIX_CHUNKS = 50
PROMPT_CHUNKS = 55
CHUNK_TOKENS = 256
RUN_SECONDS = 0.15
OUTPUT_TOKENS = 40


class HotPrefixReplay:
    """Calls with a few common prefixes, one of which gets much of the traffic."""

    def __init__(self, hot_share, seed=1):
        self.rng = random.Random(seed)
        self.hot_share = hot_share
        self.scheduler, self.clock = make_scheduler(
            engines=ENGINES,
            batch_limit=SLOTS,
            cache_tokens=225_000,
            prefill_tokens_per_second=471_000.0,
            decode_tokens_per_second=400.0,
        )
        self.peak_load = 0
        self.hot_endpoints = Counter()
        self.computed_tokens = 0

    def run(self, rate, seconds):
        events = []
        now = self.clock.monotonic()
        for number in range(int(rate * seconds)):
            now += self.rng.expovariate(rate)
            heapq.heappush(events, (now, number, None))
        while events:
            now, number, ended = heapq.heappop(events)
            self.clock.advance(now - self.clock.monotonic())
            if ended is None:
                self.scheduler.submit(self._call(number))
            else:
                usage = Usage(completion_tokens=OUTPUT_TOKENS)
                self.scheduler.finish(ended, CallOutcome.DONE, usage)
            for one in self.scheduler.assign():
                self._start(one, now, number, events)

    def _call(self, number):
        prefix = self.rng.randrange(1, PREFIXES)
        if self.rng.random() < self.hot_share:
            prefix = 0
        keys = [prefix * 1_000 + place for place in range(PREFIX_CHUNKS)]
        keys += [1_000_000 + number * 10 + place for place in range(5)]
        return make_call(
            f"p{number}",
            keys=tuple(keys),
            prompt_tokens=PROMPT_CHUNKS * CHUNK_TOKENS,
            max_tokens=OUTPUT_TOKENS,
        )

    def _start(self, assignment, now, number, events):
        in_flight = self.scheduler.peer_load().in_flight
        load = in_flight[assignment.endpoint]
        self.peak_load = max(self.peak_load, load)
        if assignment.call.keys[0] == 0:
            self.hot_endpoints[assignment.endpoint] += 1
        uncached = PROMPT_CHUNKS * CHUNK_TOKENS - assignment.cached_tokens
        self.computed_tokens += max(0, uncached)
        seconds = RUN_SECONDS * (1 + 0.6 * load / SLOTS) + uncached / 471_000
        event = (now + seconds, len(events) + 10**6 + number, assignment.call.id)
        heapq.heappush(events, event)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_hot_prefix_does_not_queue_at_one_endpoint(seed):
    even, hot = (HotPrefixReplay(share, seed) for share in (0.125, 0.45))
    for replay in (even, hot):
        replay.run(rate=500, seconds=3)
    assert hot.peak_load <= max(SLOTS, even.peak_load)
    assert hot.hot_endpoints.most_common(1)[0][1] < 0.2 * hot.hot_endpoints.total()
    assert hot.computed_tokens < 1.1 * even.computed_tokens
