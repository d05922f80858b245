"""Which daemons may allow offline spending, and the limit of their queries."""

from types import SimpleNamespace

import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.exceptions import PeerUnavailable
from eelgrasslock.gateway.peer_coordinator import MAX_OFFLINE_QUERIES_PER_SECOND
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.rate import TokenBucket
from platform_fleet import PlatformFleet


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


class PeersOfADaemon:
    """A daemon, and registered peers of which some respond to its queries."""

    started_later = frozenset()

    @pytest.fixture
    async def peer_coordinator(self, fleet):
        engine = await fleet.endpoint("models", events=1)
        daemon = await fleet.ready_daemon([engine])
        return daemon.application.peer_coordinator

    def add_peer(self, peer_coordinator, name, domain, last_contact):
        entry = DaemonEntry(
            name=name, incarnation=name, domain=domain, address="127.0.0.1:1"
        )
        peer_coordinator.daemon_registry.entries[name] = entry
        peer_coordinator.load_exchange.last_contact[name] = last_contact
        return entry

    def respond_only(self, peer_coordinator, monkeypatch, names):
        async def respond(entry, call, seconds=0.0):
            if entry.name not in names:
                raise PeerUnavailable(entry.name)
            return SimpleNamespace(
                spent=0, drawn=0, fullHistory=entry.name not in self.started_later
            )

        monkeypatch.setattr(peer_coordinator.mesh, "call", respond)


class TestPartitionAndLogOutage(PeersOfADaemon):
    """Guards against overspending when a partition and a log outage coincide.

    If both groups of daemons allow offline spending, a program in a loop spends
    its budget in each group.
    """

    async def test_no_offline_spending_beside_a_partitioned_domain(
        self, peer_coordinator, monkeypatch
    ):
        """A program in a loop spent 2,288 tokens of a budget of 1,144."""
        now = peer_coordinator.clock.monotonic()
        self.add_peer(peer_coordinator, "a-2", "a", now)
        self.add_peer(peer_coordinator, "b-1", "b", now - 60.0)
        peer_coordinator.log.lost_at = now
        self.respond_only(peer_coordinator, monkeypatch, {"a-2"})
        assert await peer_coordinator.query_offline_usage("p") is not None
        self.add_peer(peer_coordinator, "c-1", "c", now)
        self.respond_only(peer_coordinator, monkeypatch, {"a-2", "c-1"})
        assert await peer_coordinator.query_offline_usage("p") is None

    async def test_a_daemon_lost_after_the_logs_last_response_is_missing(
        self, peer_coordinator, monkeypatch
    ):
        now = peer_coordinator.clock.monotonic()
        self.add_peer(peer_coordinator, "a-2", "a", now)
        self.add_peer(peer_coordinator, "a-3", "a", now - 10.0)
        peer_coordinator.log.lost_at = now
        peer_coordinator.last_log_response_at = lambda: now - 12.0
        self.respond_only(peer_coordinator, monkeypatch, {"a-2"})
        answers = await peer_coordinator.query_offline_usage("p")
        assert answers.missing == 1
        peer_coordinator.last_log_response_at = lambda: now
        answers = await peer_coordinator.query_offline_usage("p")
        assert answers.missing == 0

    async def test_a_domain_partitioned_during_an_outage_must_not_spend(
        self, peer_coordinator, monkeypatch
    ):
        """A program in a loop spent 2,266 tokens of a budget of 1,144.

        The log became unavailable for all daemons at 31.9 s, and together they
        served the program. At 33.5 s one domain was partitioned and served the
        program again.
        """
        now = peer_coordinator.clock.monotonic()
        self.add_peer(peer_coordinator, "a-2", "a", now)
        self.add_peer(peer_coordinator, "b-1", "b", now - 1.0)
        peer_coordinator.last_log_response_at = lambda: now - 3.0
        self.respond_only(peer_coordinator, monkeypatch, {"a-2"})
        peer_coordinator.log.lost_at = now - 2.6
        assert await peer_coordinator.query_offline_usage("p") is None
        peer_coordinator.log.lost_at = now - 0.9
        assert await peer_coordinator.query_offline_usage("p") is not None
        peer_coordinator.first_offline_query_at = now - 2.5
        assert await peer_coordinator.query_offline_usage("p") is None

    async def test_an_outage_that_has_just_ended_still_counts(
        self, peer_coordinator, monkeypatch
    ):
        """A program in a loop spent 1,980 tokens of 1,144 and one turn of 572.

        The log became unavailable for all daemons at 30.4 s; at 33.5 s one domain
        was partitioned. At 39.8 s the log responded to that domain again, but its
        draws still failed and the other domains were still unreachable.
        """
        now = peer_coordinator.clock.monotonic()
        self.add_peer(peer_coordinator, "a-2", "a", now)
        self.add_peer(peer_coordinator, "b-1", "b", now - 6.3)
        peer_coordinator.last_log_response_at = lambda: now - 0.1
        self.respond_only(peer_coordinator, monkeypatch, {"a-2"})
        peer_coordinator.log.lost_at = now - 0.05
        peer_coordinator.log_outage_start = lambda: now - 9.4
        assert await peer_coordinator.query_offline_usage("p") is None
        peer_coordinator.log_outage_start = lambda: float("inf")
        assert await peer_coordinator.query_offline_usage("p") is not None

    async def test_an_outage_that_is_over_does_not_count(
        self, peer_coordinator, monkeypatch
    ):
        now = peer_coordinator.clock.monotonic()
        self.add_peer(peer_coordinator, "a-2", "a", now)
        self.add_peer(peer_coordinator, "b-1", "b", now - 1.0)
        peer_coordinator.last_log_response_at = lambda: now - 1.5
        self.respond_only(peer_coordinator, monkeypatch, {"a-2"})
        peer_coordinator.log.lost_at = now - 20.0
        peer_coordinator.first_offline_query_at = now - 20.0
        assert await peer_coordinator.query_offline_usage("p") is not None


class TestFullHistory(PeersOfADaemon):
    """Only daemons that know all draws may give a turn beyond a small budget."""

    @pytest.fixture
    async def with_peers(self, peer_coordinator, monkeypatch):
        now = peer_coordinator.clock.monotonic()
        peer_coordinator.allowances.is_first_start = True
        peer_coordinator.knows_fleet = lambda: True
        self.add_peer(peer_coordinator, "a-2", "a", now)
        self.add_peer(peer_coordinator, "b-1", "b", now)
        peer_coordinator.log.lost_at = now
        self.respond_only(peer_coordinator, monkeypatch, {"a-2", "b-1"})
        return peer_coordinator

    async def has_full_history(self, peer_coordinator):
        return (await peer_coordinator.query_offline_usage("p")).has_full_history

    async def test_all_that_drew_answer(self, with_peers):
        assert await self.has_full_history(with_peers)

    async def test_a_fleet_that_is_not_known_yet_may_have_drawn(self, with_peers):
        with_peers.knows_fleet = lambda: False
        assert not await self.has_full_history(with_peers)
        with_peers.register_callbacks(with_peers.allowances)
        assert not with_peers.mesh.callbacks.has_full_history()

    async def test_one_that_started_later_may_have_lost_draws(self, with_peers):
        self.started_later = {"b-1"}
        assert not await self.has_full_history(with_peers)
        self.started_later = frozenset()
        with_peers.allowances.is_first_start = False
        assert not await self.has_full_history(with_peers)

    async def test_one_that_is_gone_may_have_drawn(self, with_peers):
        """Replaced and deregistered daemons have no entry any more."""
        now = with_peers.clock.monotonic()
        contacts = with_peers.load_exchange.last_contact
        contacts["a-3"] = now - 200.0
        assert not await self.has_full_history(with_peers)
        contacts["a-3"] = now - 400.0
        assert await self.has_full_history(with_peers)

    async def test_one_that_never_answered_may_have_drawn(self, with_peers):
        now = with_peers.clock.monotonic()
        self.add_peer(with_peers, "a-3", "a", now)
        del with_peers.load_exchange.last_contact["a-3"]
        with_peers.load_exchange.first_seen["a-3"] = now - 200.0
        assert not await self.has_full_history(with_peers)

    async def test_a_domain_that_is_cut_off_does_not_know_all(
        self, with_peers, monkeypatch
    ):
        now = with_peers.clock.monotonic()
        with_peers.load_exchange.last_contact["b-1"] = now - 60.0
        self.respond_only(with_peers, monkeypatch, {"a-2"})
        assert not await self.has_full_history(with_peers)


class TestOutageOfManyDaemons:
    """Without a limit, 82 daemons sent 29,000 queries per second in an outage."""

    async def test_offline_queries_are_limited(self, fleet, monkeypatch):
        engine = await fleet.endpoint("models", events=1)
        daemon = await fleet.ready_daemon([engine])
        peer_coordinator = daemon.application.peer_coordinator
        queried = []

        async def respond(entry, call, seconds=0.0):
            queried.append(entry.name)
            return SimpleNamespace(spent=0, drawn=0, fullHistory=True)

        now = peer_coordinator.clock.monotonic()
        for number in range(81):
            entry = DaemonEntry(
                name=f"a-{number}",
                incarnation=f"a-{number}",
                domain="a",
                address="127.0.0.1:1",
            )
            peer_coordinator.daemon_registry.entries[entry.name] = entry
            peer_coordinator.load_exchange.last_contact[entry.name] = now
        peer_coordinator.log.lost_at = now
        monkeypatch.setattr(peer_coordinator.mesh, "call", respond)
        bucket = TokenBucket(ManualClock(), MAX_OFFLINE_QUERIES_PER_SECOND, 100.0)
        monkeypatch.setattr(peer_coordinator, "offline_query_limiter", bucket)
        assert await peer_coordinator.query_offline_usage("p") is not None
        assert await peer_coordinator.query_offline_usage("q") is None
        assert len(queried) == 81
        bucket.clock.advance(1.0)
        assert await peer_coordinator.query_offline_usage("q") is not None
