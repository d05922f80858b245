import json

import pytest

from eelgrasslock.exceptions import RecordError
from eelgrasslock.log.record_codec import decode_batch, encode_batch
from eelgrasslock.programs.journal_records import (
    BudgetDrawn,
    ProgramCreated,
    ProgramLimits,
)


class TestBatch:
    def test_round_trip(self):
        limits = ProgramLimits(tokens=10, turns=2, age=3.0)
        created = ProgramCreated(
            author="a",
            time=1.0,
            program="p",
            creation_key="",
            secret_digest="",
            parent="",
            limits=limits,
        )
        drawn = BudgetDrawn(author="a", time=1.0, program="p", tokens=5)
        assert decode_batch(encode_batch([created, drawn])) == [created, drawn]

    def test_invalid_and_newer_records_do_not_affect_others(self):
        drawn = BudgetDrawn(author="a", time=1.0, program="p", tokens=5)
        bodies = json.loads(encode_batch([drawn]))
        newer = dict(bodies[0], v=99)
        data = json.dumps([newer, bodies[0], 7]).encode()
        first, second, third = decode_batch(data)
        assert isinstance(first, RecordError)
        assert second == drawn
        assert isinstance(third, RecordError)

    @pytest.mark.parametrize(
        "data", [b"\xff\x00", b"[" * 100_000], ids=["no text", "deep"]
    )
    def test_an_invalid_entry_is_one_error(self, data):
        (error,) = decode_batch(data)
        assert isinstance(error, RecordError)
