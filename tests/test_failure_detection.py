import pytest

from eelgrasslock.peers.failure_detector import FailureDetector
from eelgrasslock.peers.heartbeat_topology import heartbeat_interval, heartbeat_targets
from peer_helpers import member
from test_member_table import table_of

ANSWERED, CONTACT, MISSED, REPLACED, RETIRED = (
    "record_answer",
    "record_contact",
    "record_miss",
    "record_replacement",
    "record_retirement",
)


class TestFailureDetector:
    @pytest.mark.parametrize(
        ("events", "suspect", "silent"),
        [
            ([], False, False),
            ([(0, ANSWERED)], False, False),
            ([(9.5, MISSED)], True, False),
            ([(0, ANSWERED), (9.0, MISSED), (9.9, MISSED)], True, False),
            ([(0, ANSWERED), (8.0, MISSED), (9.0, MISSED)], True, True),
            ([(0, ANSWERED), (1.0, MISSED)], True, False),
            ([(8.0, MISSED), (9.0, MISSED), (9.9, ANSWERED)], False, False),
            # A one-way failure: the peer's own heartbeats still arrive.
            ([(1.0, MISSED), (9.0, MISSED), (9.5, CONTACT)], True, False),
            ([(9.9, REPLACED)], True, True),
            # Flapping: the grace period has doubled twice.
            (
                [(t, e) for t in (1, 2) for e in (MISSED, ANSWERED)]
                + [(6, MISSED), (8, MISSED)],
                True,
                False,
            ),
            ([(0, RETIRED), (8, MISSED), (9, MISSED)], True, False),
        ],
    )
    def test_suspects_and_retires_after_misses(self, events, suspect, silent):
        detector = FailureDetector(grace_seconds=1.5)
        for now, event in events:
            getattr(detector, event)("p", now)
        assert detector.is_suspect("p") is suspect
        assert detector.may_be_retired("p", 10.0) is silent
        assert detector.suspects() == ({"p"} if suspect else set())

    def test_time_without_flaps_resets_the_grace(self):
        detector = FailureDetector(grace_seconds=1.5)
        for now in range(10):
            detector.record_miss("p", now)
            detector.record_answer("p", now)
        assert detector.grace("p", 10) == 60.0
        assert detector.grace("p", 1000) == 1.5

    def test_new_incarnation_starts_without_misses(self):
        detector = FailureDetector()
        detector.record_join("p", "p-1")
        detector.record_replacement("p", 1.0)
        detector.record_join("p", "p-1")
        assert detector.is_suspect("p")
        detector.record_join("p", "p-2")
        assert not detector.is_suspect("p")

    def test_grace_factor_multiplies_the_grace(self):
        detector = FailureDetector(grace_seconds=1.0)
        detector.record_miss("p", 1.0)
        detector.record_miss("p", 2.0)
        assert detector.may_be_retired("p", 3.0)
        assert not detector.may_be_retired("p", 3.0, grace_factor=3.0)
        assert detector.may_be_retired("p", 4.0, grace_factor=3.0)


class TestHeartbeatTargets:
    @pytest.mark.parametrize(("domains", "size"), [(1, 4), (3, 5), (11, 29)])
    def test_own_domain_and_few_targets_in_other_domains(self, domains, size):
        fleet = [
            member(f"m{domain}.{n}", f"d{domain}")
            for domain in range(domains)
            for n in range(size)
        ]
        table = table_of(*fleet)
        targets = set()
        for own in fleet:
            peers = heartbeat_targets(own, table)
            same_domain = {one.name for one in peers if one.domain == own.domain}
            assert len(same_domain) == size - 1
            for one in peers:
                if one.domain != own.domain:
                    targets.add((own.domain, one.domain, own.name, one.name))
        pairs = {target[:2] for target in targets}
        assert len(pairs) == domains * (domains - 1)
        assert len(targets) == 4 * len(pairs)

    @pytest.mark.parametrize("peers", [1, 4, 8, 9, 28, 40, 1000])
    def test_traffic_is_bounded(self, peers):
        assert peers / heartbeat_interval(peers) <= 4.0
        assert heartbeat_interval(peers) >= 1.0
