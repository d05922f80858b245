import pytest

from eelgrasslock.exceptions import LogUnavailable, PeerUnavailable, Ran, Refusal
from eelgrasslock.log.records import MemberJoined
from eelgrasslock.requests.exchange import Exchange, Request, RequestKind
from eelgrasslock.requests.locate_filter import LocateFilter


def member(name):
    return MemberJoined(
        author=name,
        time=0.0,
        incarnation=name,
        name=name,
        domain="riga-a",
        peer_address="127.0.0.1:1",
        http_address="127.0.0.1:2",
    )


class FakeMembership:
    def __init__(self, owners):
        self.owners = owners

    def owner(self, program):
        return self.owners[0]

    def is_self(self, one):
        return one.name == "self"


class FakeTail:
    def __init__(self, membership, down=False):
        self.membership = membership
        self.down = down

    async def wait_until_caught_up(self, stream, timeout=None):
        if self.down:
            raise LogUnavailable("The log is down.")
        self.membership.owners.pop(0)


class FakeForwarder:
    def __init__(self, error=None):
        self.error = error
        self.sent = []

    async def forward(self, one, request, responder):
        self.sent.append(one.name)
        if self.error:
            raise self.error


class Bench:
    def __init__(self, owners, error=None, log_down=False):
        names = [name and member(name) for name in owners]
        self.membership = FakeMembership(names)
        self.tail = FakeTail(self.membership, log_down)
        self.peers = FakeForwarder(error)
        self.served = []

    async def handle(self, forwarded_by="", kind=RequestKind.MODEL, program="d~i~1"):
        request = Request(method="POST", path="/", forwarded_by=forwarded_by)
        exchange = Exchange(request=request, responder=None, kind=kind, program=program)

        async def proceed(one):
            self.served.append(one)

        one = LocateFilter(self.membership, self.tail, self.peers)
        await one.handle(exchange, proceed)


class TestLocateFilter:
    async def test_serves_what_it_owns(self):
        bench = Bench(["self"])
        await bench.handle()
        assert bench.served
        assert not bench.peers.sent

    async def test_forwards_what_another_owns(self):
        bench = Bench(["other"])
        await bench.handle()
        assert bench.peers.sent == ["other"]
        assert not bench.served

    async def test_plain_calls_are_served_where_they_arrive(self):
        bench = Bench(["other"])
        await bench.handle(kind=RequestKind.PLAIN)
        assert bench.served

    async def test_reads_up_when_a_peer_believes_that_we_own(self):
        bench = Bench(["other", "self"])
        await bench.handle(forwarded_by="peer")
        assert bench.served

    @pytest.mark.parametrize(
        ("owners", "error", "log_down", "forwarded_by", "code", "ran"),
        [
            ([None], None, False, "", "no_owner", Ran.NO),
            (["other", "other"], None, False, "peer", "owner_moved", Ran.NO),
            (["other"], None, True, "peer", "owner_moved", Ran.NO),
            (
                ["other"],
                PeerUnavailable("gone"),
                False,
                "",
                "owner_unreachable",
                Ran.NO,
            ),
            (
                ["other"],
                PeerUnavailable("cut", Ran.UNKNOWN),
                False,
                "",
                "owner_unreachable",
                Ran.UNKNOWN,
            ),
        ],
    )
    async def test_refusals_say_what_ran_and_when_to_come_back(
        self, owners, error, log_down, forwarded_by, code, ran
    ):
        bench = Bench(owners, error, log_down)
        with pytest.raises(Refusal) as caught:
            await bench.handle(forwarded_by)
        assert caught.value.code == code
        assert caught.value.ran is ran
        assert caught.value.retry_after
