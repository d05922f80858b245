"""A daemon that follows and publishes the configuration, without I/O."""

import random

from eelgrasslock.clock import ManualClock
from eelgrasslock.configuration.controller import ConfigurationController
from eelgrasslock.configuration.publish import (
    Publication,
    Publisher,
)
from eelgrasslock.configuration.version_fold import copy_of
from eelgrasslock.log.record_codec import encode_batch
from fake_config import FakeTail, FakeWriter, folder, version

RETENTION = 1_000.0
BAD = {"10.yaml": "wrong: ["}
V1, V2, V3 = version(1), version(2, "v1"), version(3, "v2")
RIVAL_2 = version(2, "v1", "rival", folder(9), author="ben")
RIVAL_2_OF_FIRST = version(2, "first", "rival", folder(9), author="ben")


class Daemon:
    """A controller with its writer, tail and publisher."""

    def __init__(self, stream, clock=None, seed=1):
        self.clock = clock or ManualClock()
        self.writer = FakeWriter(stream)
        self.tail = FakeTail(stream)
        self.configuration = ConfigurationController(
            self.writer,
            self.tail,
            self.clock,
            random.Random(seed),
            retention_seconds=RETENTION,
        )
        self.tail.follow("config", self.configuration.apply)
        self.tail.on_gap("config", self.configuration.note_gap)
        self.publisher = Publisher(
            self.configuration, self.writer, self.tail, self.clock
        )

    def read(self):
        self.tail.pump()
        return self

    @property
    def in_force(self):
        record = self.configuration.record
        return record.id if record else None

    @property
    def latency(self):
        return self.configuration.current.weights.latency

    def publish(self, record_id, latency, replaces=None, author="ana"):
        replaces = (self.in_force or "") if replaces is None else replaces
        publication = Publication(
            id=record_id, author=author, files=folder(latency), replaces=replaces
        )
        return self.publisher.publish(publication)


def copy(record, in_force_at, time=1_000.0):
    return copy_of(record, in_force_at, time)


def gossip(source, target):
    if source.configuration.version:
        copied = source.configuration.make_copy()
        target.configuration.accept(encode_batch([copied]))
