"""Grants of requests at the rate that an endpoint named."""

import random

import pytest

from eelgrasslock.limits.grant_queue import GrantQueue
from eelgrasslock.limits.limit_table import EndpointLimit, LimitTable
from eelgrasslock.scheduling.request_tokens import (
    ESTIMATE_LIFE_SECONDS,
    TOKEN_LIFE_SECONDS,
    RequestTokens,
)
from eelgrasslock.scheduling.token_demand import NEW_PROGRAM, URGENT


class TestGrantQueue:
    def test_a_new_queue_is_empty(self):
        queue = GrantQueue(10.0, now=0.0)
        assert queue.ask("a", 5, URGENT, 0.0).count == 0

    @pytest.mark.parametrize("per_second", [0.25, 3.0, 8.7, 60.0])
    def test_the_rate_is_granted_and_no_more(self, per_second):
        rng = random.Random(5)
        queue = GrantQueue(per_second, now=0.0)
        granted, now = 0, 0.0
        while now < 60.0:
            now += 0.02 * rng.random()
            asker = rng.choice("abcdefgh")
            granted += queue.ask(asker, rng.randint(1, 5), URGENT, now).count
        assert granted <= 60.0 * per_second + 1
        assert granted >= 0.9 * 60.0 * per_second - 1

    def test_a_pause_saves_up_a_short_burst_only(self):
        queue = GrantQueue(8.0, now=0.0)
        assert queue.ask("a", 100, URGENT, 1_000.0).count == 3

    def test_who_asked_first_goes_first(self):
        queue = GrantQueue(10.0, now=0.0)
        queue.ask("a", 1, URGENT, 0.0)
        queue.ask("b", 1, URGENT, 0.01)
        assert queue.ask("b", 1, URGENT, 0.1).count == 0
        assert queue.ask("a", 1, URGENT, 0.11).count == 1

    def test_programs_under_way_go_before_new_ones(self):
        queue = GrantQueue(10.0, now=0.0)
        queue.ask("new", 1, NEW_PROGRAM, 0.0)
        queue.ask("old", 1, URGENT, 0.05)
        assert queue.ask("new", 1, NEW_PROGRAM, 0.1).count == 0
        assert queue.ask("old", 1, URGENT, 0.1).count == 1

    def test_a_daemon_that_does_not_come_back_loses_its_place(self):
        queue = GrantQueue(10.0, now=0.0)
        queue.ask("gone", 5, URGENT, 0.0)
        assert queue.ask("b", 1, URGENT, 2.0).count == 1

    def test_the_wait_is_when_the_next_token_is_there(self):
        queue = GrantQueue(10.0, now=0.0)
        queue.ask("a", 2, URGENT, 0.0)
        answer = queue.ask("b", 1, URGENT, 0.0)
        assert answer.wait_seconds == pytest.approx(0.3)
        assert answer.askers == 2
        assert queue.ask("a", 2, URGENT, 0.21).count == 2
        assert queue.ask("b", 1, URGENT, 0.31).count == 1

    def test_a_count_of_nothing_keeps_the_place(self):
        queue = GrantQueue(10.0, now=0.0)
        queue.ask("a", 1, URGENT, 0.0)
        queue.ask("b", 1, URGENT, 0.0)
        queue.ask("a", 0, URGENT, 0.05)
        assert queue.ask("b", 1, URGENT, 0.1).count == 0
        assert queue.ask("a", 1, URGENT, 0.1).count == 1

    def test_a_lower_limit_holds_at_once(self):
        queue = GrantQueue(100.0, now=0.0)
        queue.set_rate(1.0, now=10.0)
        assert queue.ask("a", 50, URGENT, 10.0).count == 1

    def test_a_share_of_nothing_grants_nothing(self):
        queue = GrantQueue(0.0, now=0.0)
        answer = queue.ask("a", 1, URGENT, 0.0)
        assert answer.count == 0
        assert answer.wait_seconds > 1.0


class TestRequestTokens:
    def test_each_request_takes_one(self):
        tokens = RequestTokens(interval_seconds=0.5)
        tokens.add(2, now=0.0)
        tokens.take(0.0)
        assert tokens.available(0.0) == 1

    def test_unused_tokens_are_lost(self):
        tokens = RequestTokens(interval_seconds=0.5)
        tokens.add(2, now=0.0)
        assert tokens.available(TOKEN_LIFE_SECONDS) == 0

    def test_the_wait_follows_from_the_calls_ahead(self):
        tokens = RequestTokens(interval_seconds=0.5)
        tokens.add(1, now=0.0)
        tokens.expect(next_at=0.2, interval_seconds=0.5, now=0.0)
        waits = [tokens.wait_seconds(ahead, 0.1) for ahead in range(3)]
        assert waits == [0.0, pytest.approx(0.1), pytest.approx(0.6)]

    def test_an_old_estimate_lets_a_call_try_again(self):
        tokens = RequestTokens(interval_seconds=4.0)
        tokens.expect(next_at=60.0, interval_seconds=4.0, now=0.0)
        assert tokens.wait_seconds(0, 1.0) == pytest.approx(59.0)
        assert tokens.wait_seconds(0, ESTIMATE_LIFE_SECONDS) == 0.0


class TestLimitTable:
    def test_a_changed_limit_is_reported_once(self):
        table = LimitTable()
        assert table.record_named("e", 8.0, 1.0)
        assert not table.record_named("e", 8.0, 2.0)
        assert table.record_named("e", 9.0, 3.0)

    def test_an_unreadable_limit_leaves_the_last_one(self):
        table = LimitTable()
        table.record_unreadable("e", 1.0)
        assert table.per_second("e") is None
        table.record_named("e", 8.0, 2.0)
        table.record_unreadable("e", 3.0)
        assert table.per_second("e") == 8.0

    def test_a_limit_ends_with_a_response_to_a_later_request(self):
        table = LimitTable()
        table.record_named("e", 8.0, now=2.0)
        assert not table.record_none("e", sent_at=1.9, now=2.1)
        assert table.per_second("e") == 8.0
        assert table.record_none("e", sent_at=2.0, now=2.2)
        assert table.per_second("e") is None

    def test_the_newest_word_of_any_daemon_holds(self):
        table = LimitTable()
        table.record_named("e", 8.0, now=2.0)
        assert not table.merge("e", EndpointLimit(per_second=None, seen_at=1.0))
        assert table.merge("e", EndpointLimit(per_second=5.0, seen_at=3.0))
        assert table.merge("e", EndpointLimit(per_second=None, seen_at=4.0))
        assert table.per_second("e") is None

    def test_a_daemon_that_knows_nothing_ends_no_limit(self):
        table = LimitTable()
        table.record_named("e", 8.0, now=2.0)
        never = EndpointLimit(per_second=None, seen_at=float("-inf"))
        assert not table.merge("e", never)
        assert table.per_second("e") == 8.0
