"""Appends at any end, limited reads and deletions, directly and through a peer."""

import pytest

from eelgrasslock.exceptions import RecordsExpired
from eelgrasslock.log.partitioned_log import ANY_END, AppendConflict
from platform_fleet import PlatformFleet, wait_until


@pytest.fixture
async def logs():
    """Give the log as a daemon reaches it: directly, and through a peer."""
    async with PlatformFleet() as fleet:
        near, far = await fleet.daemon("a-1"), await fleet.daemon("a-2")
        await wait_until(lambda: near.application.daemon_registry.entries)
        await wait_until(lambda: far.application.daemon_registry.entries)
        far.faults.refusing = "busy"
        yield [near.application.log, far.application.log]


class TestAppends:
    async def test_an_append_at_any_end_never_conflicts(self, logs):
        for number, log in enumerate([*logs, *logs]):
            assert await log.append_at("t", 1, [b"a"], ANY_END) == number + 1

    async def test_an_append_at_an_end_still_does(self, logs):
        for log in logs:
            await log.append_at("t", 1, [b"a"], ANY_END)
            with pytest.raises(AppendConflict):
                await log.append_at("t", 1, [b"b"], 0)


class TestReads:
    async def test_a_limited_read_gives_one_record_at_least(self, logs):
        for record in (b"a" * 3_000, b"b" * 3_000, b"c"):
            await logs[0].append_at("t", 1, [record], ANY_END)
        for log in logs:
            read = await log.read_from("t", 1, 1, 1)
            assert read.records == (b"b" * 3_000,)
            assert (read.offset, read.end) == (2, 3)
            assert len((await log.read_from("t", 1, 0)).records) == 3

    async def test_deleted_records_are_expired(self, logs):
        await logs[0].append_at("t", 1, [b"a", b"b", b"c"], ANY_END)
        await logs[0].direct.trim("t", 1, 2)
        for log in logs:
            with pytest.raises(RecordsExpired) as caught:
                await log.read_from("t", 1, 1)
            assert caught.value.first == 2
            assert (await log.read_from("t", 1, 2)).records == (b"c",)
