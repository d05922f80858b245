"""A log of one stream, with the writer and tail that a daemon sees."""

from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable
from eelgrasslock.log.record_codec import decode_batch, encode_batch
from eelgrasslock.log.records import ConfigVersion, PositionedRecord

DEPLOYMENT = """\
deployment: small
domains: [a, b]
services: {pool: {kind: engine}}
models: {draft: {service: pool}}
endpoints:
  one: {service: pool, domain: a, url: 'http://127.0.0.1:9001'}
  two: {service: pool, domain: b, url: 'http://127.0.0.1:9002'}
"""


def folder(latency=1.0, **more):
    weights = f"weights: {{latency: {latency}}}\n"
    return {"10-all.yaml": DEPLOYMENT, "50-weights.yaml": weights, **more}


def version(number, replaces="", record_id=None, files=None, **more):
    return ConfigVersion(
        id=record_id or f"v{number}",
        author=more.pop("author", "ana"),
        time=more.pop("time", 1_000.0),
        version=number,
        replaces=replaces,
        files=folder(number) if files is None else files,
        **more,
    )


class FakeStream:
    """Entries, kept from `first` on."""

    def __init__(self):
        self.entries = []
        self.first = 0
        self.up = True
        self.lose_answers = False

    def add(self, record):
        self.entries.append(encode_batch([record]))
        return len(self.entries) - 1

    def records(self):
        return [decode_batch(entry)[0] for entry in self.entries]


class FakeWriter:
    def __init__(self, stream):
        self.stream = stream
        self.available = True

    async def append(self, stream, record, timeout=None):
        if not self.stream.up:
            raise LogUnavailable("down")
        offset = self.stream.add(record)
        if self.stream.lose_answers:
            raise AppendUnresolved("lost")
        return offset


class FakeTail:
    def __init__(self, stream):
        self.stream = stream
        self.seen = -1
        self.handler = None
        self.gap_handler = None

    def follow(self, stream, handler, start=0):
        self.handler = handler

    def on_gap(self, stream, handler):
        self.gap_handler = handler

    def position(self, stream):
        return self.seen

    def pump(self):
        if self.seen + 1 < self.stream.first:
            self.seen = self.stream.first - 1
            self.gap_handler(self.stream.first)
        while self.seen + 1 < len(self.stream.entries):
            offset = self.seen + 1
            for index, record in enumerate(decode_batch(self.stream.entries[offset])):
                if isinstance(record, ConfigVersion):
                    self.handler(PositionedRecord(offset, index, record))
            self.seen = offset

    async def wait_until_caught_up(self, stream, timeout=None):
        if not self.stream.up:
            raise LogUnavailable("down")
        self.pump()

    async def wait_for_offset(self, stream, offset, timeout=None):
        await self.wait_until_caught_up(stream)
