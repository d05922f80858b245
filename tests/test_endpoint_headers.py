"""Headers of endpoints' responses on the platform."""

import pytest

from eelgrasslock.http.messages import ResponseHead
from eelgrasslock.platform.headers import PlatformMessageCodec

MALFORMED_LOADS = [
    "",
    "3",
    "3,1",
    "3,1,8,",
    "3,1,8,0",
    "3,1,8,-5",
    "3,1,8,1.5",
    "a,b,c",
    "1,2,3,4,5",
    "3,1,8,9999999999999999999",
    "9" * 30 + ",1,8",
]


def decode(**headers):
    pairs = tuple((name.replace("_", "-"), value) for name, value in headers.items())
    head = ResponseHead(status=200, headers=pairs)
    return PlatformMessageCodec().decode_response(head, "r1")


class TestRequestLimit:
    @pytest.mark.parametrize(
        ("text", "per_second"),
        [("8.7", 8.7), (" 12 ", 12.0), ("0", 0.0), ("0.25", 0.25), ("1e2", 100.0)],
    )
    def test_a_number_is_the_limit(self, text, per_second):
        assert decode(Server_Limit=text).request_limit.per_second == per_second

    @pytest.mark.parametrize("text", ["", "many", "-1", "nan", "inf", "8,7", "8.7/s"])
    def test_anything_else_is_a_limit_that_cant_be_read(self, text):
        assert decode(Server_Limit=text).request_limit.per_second is None

    def test_without_the_header_there_is_none(self):
        assert decode(Server_Load="1,0,4").request_limit is None

    def test_it_is_not_passed_on(self):
        response = decode(Server_Limit="8.7", Server_Stamp="s")
        assert response.headers == (("Server-Stamp", "s"),)


class TestLoad:
    """A header of four figures was dropped whole, and the load with it."""

    @pytest.mark.parametrize(
        ("text", "slowdown"),
        [("3,1,8", 1.0), ("3,1,8,100", 1.0), (" 3, 1, 8, 55 ", 0.55), ("3,1,8,300", 3)],
    )
    def test_three_or_four_figures_are_a_load(self, text, slowdown):
        response = decode(Server_Load=text)
        load = response.load
        assert (load.running, load.waiting, load.slots) == (3, 1, 8)
        assert load.slowdown == slowdown
        assert not response.is_load_malformed

    @pytest.mark.parametrize("text", MALFORMED_LOADS)
    def test_another_one_costs_itself_alone(self, text):
        response = decode(Server_Load=text, Server_Stamp="s")
        assert response.load is None
        assert response.is_load_malformed
        assert response.headers == (("Server-Stamp", "s"),)

    def test_without_the_header_nothing_is_malformed(self):
        assert not decode(Server_Stamp="s").is_load_malformed
