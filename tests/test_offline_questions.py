"""Which daemons may decide without the log, and how often they ask."""

from types import SimpleNamespace

import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import PeerUnavailable
from eelgrasslock.gateway.peering import OFFLINE_ASKS_PER_SECOND
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.rate import TokenBucket
from platform_fleet import PlatformFleet


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


class TestTwoGroups:
    """A domain is cut off, and seconds later the log is lost for all others."""

    @pytest.fixture
    async def peering(self, fleet):
        engine = await fleet.endpoint("models", events=1)
        daemon = await fleet.ready_daemon([engine])
        return daemon.application.peering

    def enter(self, peering, name, domain, heard):
        entry = DaemonEntry(
            name=name, incarnation=name, domain=domain, address="127.0.0.1:1"
        )
        peering.daemon_registry.entries[name] = entry
        peering.loads.last_contact[name] = heard
        return entry

    def answering(self, peering, monkeypatch, names):
        async def ask(entry, call, seconds=0.0):
            if entry.name not in names:
                raise PeerUnavailable(entry.name)
            return SimpleNamespace(spent=0, drawn=0)

        monkeypatch.setattr(peering.mesh, "call", ask)

    async def test_the_others_do_not_decide_beside_a_domain_that_was_cut_off(
        self, peering, monkeypatch
    ):
        """A looping program got 2,288 of 1,144 tokens."""
        now = peering.clock.monotonic()
        self.enter(peering, "a-2", "a", now)
        self.enter(peering, "b-1", "b", now - 60.0)
        peering.log.lost_at = now
        self.answering(peering, monkeypatch, {"a-2"})
        assert await peering.ask_offline("p") is not None
        self.enter(peering, "c-1", "c", now)
        self.answering(peering, monkeypatch, {"a-2", "c-1"})
        assert await peering.ask_offline("p") is None

    async def test_one_that_died_after_the_logs_last_answer_is_missing(
        self, peering, monkeypatch
    ):
        now = peering.clock.monotonic()
        self.enter(peering, "a-2", "a", now)
        self.enter(peering, "a-3", "a", now - 10.0)
        peering.log.lost_at = now
        peering.log_answered_at = lambda: now - 12.0
        self.answering(peering, monkeypatch, {"a-2"})
        answers = await peering.ask_offline("p")
        assert answers.missing == 1
        peering.log_answered_at = lambda: now
        answers = await peering.ask_offline("p")
        assert answers.missing == 0

    async def test_a_domain_that_is_cut_off_in_an_outage_does_not_decide(
        self, peering, monkeypatch
    ):
        """A looping program got 2,266 of 1,144 tokens.

        The log was lost at 31.9 s for all, who served it together; at 33.5 s a
        domain was cut off, and served it once more.
        """
        now = peering.clock.monotonic()
        self.enter(peering, "a-2", "a", now)
        self.enter(peering, "b-1", "b", now - 1.0)
        peering.log_answered_at = lambda: now - 3.0
        self.answering(peering, monkeypatch, {"a-2"})
        peering.log.lost_at = now - 2.6
        assert await peering.ask_offline("p") is None
        peering.log.lost_at = now - 0.9
        assert await peering.ask_offline("p") is not None
        peering.asked_at = now - 2.5
        assert await peering.ask_offline("p") is None

    async def test_an_outage_that_has_just_ended_still_counts(
        self, peering, monkeypatch
    ):
        """A looping program got 1,980 of 1,144 tokens, and one turn more of 572.

        The log was lost at 30.4 s for all; at 33.5 s a domain was cut off. At
        39.8 s the log answered it again, but not yet its draws, and the others
        were not yet in reach.
        """
        now = peering.clock.monotonic()
        self.enter(peering, "a-2", "a", now)
        self.enter(peering, "b-1", "b", now - 6.3)
        peering.log_answered_at = lambda: now - 0.1
        self.answering(peering, monkeypatch, {"a-2"})
        peering.log.lost_at = now - 0.05
        peering.log_trouble_at = lambda: now - 9.4
        assert await peering.ask_offline("p") is None
        peering.log_trouble_at = lambda: float("inf")
        assert await peering.ask_offline("p") is not None

    async def test_an_outage_that_is_over_does_not_count(self, peering, monkeypatch):
        now = peering.clock.monotonic()
        self.enter(peering, "a-2", "a", now)
        self.enter(peering, "b-1", "b", now - 1.0)
        peering.log_answered_at = lambda: now - 1.5
        self.answering(peering, monkeypatch, {"a-2"})
        peering.log.lost_at = now - 20.0
        peering.asked_at = now - 20.0
        assert await peering.ask_offline("p") is not None


class TestOutageOfManyDaemons:
    """82 daemons asked each other 29,000 questions a second in an outage."""

    async def test_questions_without_the_log_are_limited(self, fleet, monkeypatch):
        engine = await fleet.endpoint("models", events=1)
        daemon = await fleet.ready_daemon([engine])
        peering = daemon.application.peering
        asked = []

        async def ask(entry, call, seconds=0.0):
            asked.append(entry.name)
            return SimpleNamespace(spent=0, drawn=0)

        now = peering.clock.monotonic()
        for number in range(81):
            entry = DaemonEntry(
                name=f"a-{number}",
                incarnation=f"a-{number}",
                domain="a",
                address="127.0.0.1:1",
            )
            peering.daemon_registry.entries[entry.name] = entry
            peering.loads.last_contact[entry.name] = now
        peering.log.lost_at = now
        monkeypatch.setattr(peering.mesh, "call", ask)
        bucket = TokenBucket(ManualClock(), OFFLINE_ASKS_PER_SECOND, 100.0)
        monkeypatch.setattr(peering, "offline_asks", bucket)
        assert await peering.ask_offline("p") is not None
        assert await peering.ask_offline("q") is None
        assert len(asked) == 81
        bucket.clock.advance(1.0)
        assert await peering.ask_offline("q") is not None
