"""Endpoints that a daemon reads of, and those that it reads are gone."""

import json

import pytest

from eelgrasslock.clock import ManualClock
from eelgrasslock.log.keyed_log import KeyedRecord
from eelgrasslock.platform.record_decoder import PlatformRecordDecoder
from eelgrasslock.registry.endpoint_registry import EndpointRegistry
from eelgrasslock.registry.registry_updater import EndpointRegistryUpdater


def entry(key, address="10.0.0.1:80", state="ready", born=1, version="v1"):
    fields = {
        "service": "models",
        "address": address,
        "zone": "a",
        "version": version,
        "slots": 4,
        "state": state,
        "born": born,
    }
    return KeyedRecord(key=key, value=json.dumps(fields).encode())


class Watched:
    """An updater that takes down which endpoints were replaced or removed."""

    def __init__(self):
        self.replaced = []
        self.removed = []
        self.versions = []
        self.updater = EndpointRegistryUpdater(
            PlatformRecordDecoder(),
            EndpointRegistry(ManualClock()),
            lambda: None,
            lambda before, now: self.replaced.append((before.id, now.id)),
            lambda record: self.removed.append(record.id),
        )
        self.updater.on_version = lambda *one: self.versions.append(one)


@pytest.fixture
def watched():
    one = Watched()
    one.updater.apply((entry("i-1"),))
    return one


class TestEnds:
    def test_a_snapshot_without_an_endpoint_removes_it(self, watched):
        """Ends in the records that the log has dropped were not looked at."""
        watched.updater.replace_all((entry("i-2", address="10.0.0.2:80"),))
        assert watched.removed == ["i-1"]

    def test_another_start_replaces_it(self, watched):
        watched.updater.apply((entry("i-1", born=2),))
        assert watched.replaced == [("i-1", "i-1")]

    def test_another_endpoint_at_its_address_replaces_it(self, watched):
        watched.updater.apply((entry("i-2", born=2),))
        assert watched.replaced == [("i-1", "i-2")]

    def test_one_that_leaves_may_give_its_address_on(self, watched):
        watched.updater.apply((entry("i-1", state="draining"), entry("i-2", born=2)))
        assert watched.replaced == []

    def test_a_later_word_of_the_same_start_replaces_nothing(self, watched):
        watched.updater.apply((entry("i-1", state="draining"),))
        assert watched.replaced == []


class TestVersions:
    def test_one_that_comes_and_goes_between_two_reads_is_told(self, watched):
        """Guards against streams that go on at another version after a standstill."""
        gone = KeyedRecord(key="i-2", value=b"")
        another = entry("i-2", address="10.0.0.2:80", version="v2")
        watched.updater.apply((another, gone))
        assert ("models", "v2") in watched.versions
        assert "i-2" not in watched.updater.endpoint_registry.entries

    def test_those_of_a_snapshot_are_told(self, watched):
        watched.updater.replace_all((entry("i-1", version="v3"),))
        assert ("models", "v3") in watched.versions
