import json

import pytest

from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.requests.refusal_body import refusal_body, refusal_headers
from eelgrasslock.requests.tokens import BYTES_PER_TOKEN, block_hashes, estimate_tokens
from eelgrasslock.scheduling.calls import BLOCK_TOKENS


class TestTokens:
    @pytest.mark.parametrize(
        ("text", "tokens"), [("", 0), ("a", 1), ("abcd", 1), ("abcde", 2), ("ūū", 1)]
    )
    def test_counts_bytes(self, text, tokens):
        assert estimate_tokens(text) == tokens


class TestBlockHashes:
    def test_next_turn_begins_with_the_blocks_of_the_last(self):
        first = [{"role": "user", "content": "x" * 500}]
        answer = {"role": "assistant", "content": None, "tool_calls": [{"id": "1"}]}
        second = [*first, answer, {"role": "tool", "content": [{"type": "text"}]}]
        hashes = block_hashes(first)
        assert len(hashes) == 500 // (BLOCK_TOKENS * BYTES_PER_TOKEN)
        assert block_hashes(second)[: len(hashes)] == hashes

    def test_an_early_change_changes_all_later_blocks(self):
        one = block_hashes([{"role": "user", "content": "a" + "x" * 500}])
        other = block_hashes([{"role": "user", "content": "b" + "x" * 500}])
        assert not set(one) & set(other)


class TestRefusalBody:
    @pytest.mark.parametrize(
        ("retry_after", "header"), [(None, None), (0.0, "1"), (2.1, "3")]
    )
    def test_rounds_retry_after_up(self, retry_after, header):
        refusal = Refusal("overloaded", "Busy.", 429, Ran.NO, retry_after)
        assert refusal_headers(refusal).get("Retry-After") == header

    def test_tells_whether_the_request_ran(self):
        refusal = Refusal("endpoint_failed", "It broke.", 502, Ran.UNKNOWN)
        error = json.loads(refusal_body(refusal))["error"]
        assert error["code"] == error["type"] == "endpoint_failed"
        assert error["ran"] == "unknown"
        assert refusal_headers(refusal)["Eelgrass-Ran"] == "unknown"
