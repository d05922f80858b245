import asyncio

import capnp
import pytest
from loguru import logger

from eelgrasslock.exceptions import PeerUnavailable, Ran
from eelgrasslock.peers import peer_connection
from eelgrasslock.peers.heartbeat_codec import Heartbeat
from eelgrasslock.peers.peer_transport import (
    PeerAuthFailed,
    PeerRestarted,
)
from eelgrasslock.requests.exchange import Request
from eelgrasslock.scheduling.calls import PeerLoad
from fake_log import make_record
from peer_pair import (
    Caller,
    Service,
    pair,
)

REQUEST = Request(
    method="POST",
    path="/v1/chat/completions",
    query="a=b",
    headers={"content-type": "application/json"},
    body=b"\x00" * 100_000,
    trace={"traceparent": "00-1"},
)


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(peer_connection, "_PING_AFTER_SECONDS", 0.2)
    monkeypatch.setattr(peer_connection, "_PING_TIMEOUT_SECONDS", 0.5)


def make_heartbeat(**load):
    return Heartbeat(load=PeerLoad(incarnation="x-1", in_flight={}, **load))


class TestKeys:
    @pytest.mark.parametrize(
        ("ours", "theirs", "accepted"),
        [
            ([], [], True),
            (["k"], ["k"], True),
            (["old", "new"], ["old"], True),
            (["new", "old"], ["old"], True),
            (["new"], ["old", "new"], True),
            (["new", "old"], ["old", "new"], True),
            (["k"], ["other"], False),
            (["k"], [], False),
            ([], ["k"], False),
        ],
    )
    async def test_accepts_peers_that_share_a_key(self, ours, theirs, accepted):
        lines = []
        sink = logger.add(lines.append, level="WARNING")
        async with pair((ours, theirs)) as (x, _, y_member, _):
            if accepted:
                await x.heartbeat(y_member, make_heartbeat())
            else:
                with pytest.raises(PeerAuthFailed):
                    await x.heartbeat(y_member, make_heartbeat())
        logger.remove(sink)
        assert bool(lines) is not accepted
        assert not any("'k'" in line for line in lines)

    async def test_replayed_proof_is_refused(self):
        async with pair((["k"], ["k"])) as (x, y, y_member, _):
            host, port = y.address.split(":")
            await x.heartbeat(y_member, make_heartbeat())
            connection = next(iter(x._connections.values()))
            assert connection.peer is not None
            stream = await capnp.AsyncIoStream.create_connection(host, int(port))
            client = capnp.TwoPartyClient(stream)
            gate = client.bootstrap().cast_as(peer_connection.schema.Gate)
            with pytest.raises(capnp.KjException):
                await gate.login(proof=b"\x00" * 32)
            await gate.hello(nonce=b"n", incarnation="x-1")
            with pytest.raises(capnp.KjException):
                await gate.login(proof=b"\x00" * 32)
            client.close()


class TestForward:
    async def test_streams_the_answer(self):
        async with pair() as (x, y, y_member, _):
            y.serve_request = service = Service()
            caller = Caller()
            await x.forward(y_member, REQUEST, caller)
            assert service.requests == [REQUEST]
            assert (caller.status, caller.headers) == (200, {"x-one": "1"})
            assert caller.chunks == [b"chunk"] * 3
            assert caller.finished

    async def test_slow_reader_slows_the_writer(self):
        async with pair() as (x, y, y_member, _):
            y.serve_request = service = Service(chunks=1000)
            caller = Caller(pause=0.05)
            task = asyncio.create_task(x.forward(y_member, REQUEST, caller))
            await asyncio.sleep(0.6)
            assert service.written <= len(caller.chunks) + 1 < 20
            task.cancel()
            await asyncio.wait_for(service.cancelled.wait(), 10)

    @pytest.mark.parametrize("how", ["cancelled", "connection_cut", "reader_broke"])
    async def test_caller_that_disconnects_cancels_the_request(self, how):
        async with pair(proxied=True) as (x, y, y_member, proxy):
            hang = how != "reader_broke"
            y.serve_request = service = Service(chunks=100_000, hang=hang)
            caller = Caller(break_after=None if hang else 2)
            task = asyncio.create_task(x.forward(y_member, REQUEST, caller))
            await asyncio.wait_for(service.begun.wait(), 10)
            if how == "reader_broke":
                with pytest.raises(BrokenPipeError):
                    await asyncio.wait_for(task, 10)
                assert service.written <= 3
                return
            if how == "cancelled":
                task.cancel()
            else:
                proxy.cut()
            await asyncio.wait_for(service.cancelled.wait(), 10)
            await asyncio.gather(task, return_exceptions=True)

    async def test_slow_service_is_not_a_failure(self):
        async with pair() as (x, y, y_member, _):
            y.serve_request = service = Service()
            serve = y.serve_request

            async def slow(request, responder):
                await asyncio.sleep(1.5)
                await serve(request, responder)

            y.serve_request = slow
            caller = Caller()
            await x.forward(y_member, REQUEST, caller)
            assert caller.finished
            assert len(service.requests) == 1

    async def test_error_text_stays_at_the_peer(self):
        async with pair() as (x, y, y_member, _):
            y.serve_request = Service(fail=True)
            with pytest.raises(PeerUnavailable) as caught:
                await x.forward(y_member, REQUEST, Caller())
            assert caught.value.ran is Ran.UNKNOWN
            cause = caught.value.__cause__.__cause__
            assert "secret" not in f"{caught.value} {cause}"

    @pytest.mark.parametrize(
        ("fault", "ran", "served"),
        [
            ("frozen_before", None, 1),
            ("frozen_on_the_way", None, 1),
            ("frozen_while_served", Ran.UNKNOWN, 1),
            ("cut_while_served", Ran.UNKNOWN, 1),
            ("refused", Ran.NO, 0),
            ("freeze_new", Ran.NO, 0),
            ("replaced", Ran.NO, 0),
            ("replaced_unnoticed", Ran.UNKNOWN, 0),
        ],
    )
    async def test_says_whether_the_request_ran(self, fault, ran, served, monkeypatch):
        monkeypatch.setattr(peer_connection, "_CONNECT_TIMEOUT_SECONDS", 0.5)
        async with pair(proxied=True) as (x, y, y_member, proxy):
            y.serve_request = service = Service(hang="while" in fault)
            await x.heartbeat(y_member, make_heartbeat())
            if fault == "frozen_before":
                await asyncio.sleep(0.3)
                proxy.freeze()
            elif fault == "frozen_on_the_way":
                proxy.freeze()
            elif fault in ("refused", "freeze_new"):
                proxy.cut()
                setattr(proxy, "refuse" if fault == "refused" else "freeze_new", True)
                await asyncio.sleep(0.3)
            elif fault.startswith("replaced"):
                y.incarnation = "y-2"
                proxy.cut()
                await asyncio.sleep(0.0 if "unnoticed" in fault else 0.3)
            caller = Caller()
            task = asyncio.create_task(x.forward(y_member, REQUEST, caller))
            if "while" in fault:
                await asyncio.wait_for(service.begun.wait(), 10)
                proxy.freeze() if "frozen" in fault else proxy.cut()
            if ran is None:
                await asyncio.wait_for(task, 20)
                assert caller.finished
            else:
                with pytest.raises(PeerUnavailable) as caught:
                    await asyncio.wait_for(task, 20)
                assert caught.value.ran is ran
            assert len(service.requests) == served

    async def test_disowned_request_never_starts(self):
        async with pair() as (x, y, y_member, _):
            y.serve_request = service = Service()
            y.server.forwarded_requests.disown("late")
            await x.heartbeat(y_member, make_heartbeat())
            (connection,) = x._connections.values()
            with pytest.raises(peer_connection.ConnectionLost):
                await connection.forward("late", REQUEST, Caller())
            assert not service.requests


class TestNewConnection:
    async def test_is_tried_before_the_call_fails(self):
        async with pair(proxied=True) as (x, _, y_member, proxy):
            await x.heartbeat(y_member, make_heartbeat())
            proxy.freeze()
            await x.heartbeat(y_member, make_heartbeat())
            assert proxy.accepted == 2

    async def test_response_continues_on_a_draining_connection(self, monkeypatch):
        async with pair() as (x, y, y_member, _):
            caller = Caller()

            async def serve(request, responder):
                await responder.start(200, {})
                await asyncio.sleep(0.5)
                await responder.write(b"late")
                await responder.finish()

            y.serve_request = serve
            task = asyncio.create_task(x.forward(y_member, REQUEST, caller))
            await asyncio.sleep(0.2)
            (connection,) = x._connections.values()
            connection.drain()
            await x.heartbeat(y_member, make_heartbeat())
            await asyncio.wait_for(task, 10)
            assert caller.chunks == [b"late"]
            assert connection.closed

    async def test_other_incarnation_is_detected(self):
        async with pair() as (x, y, y_member, _):
            y.incarnation = "y-2"
            with pytest.raises(PeerRestarted):
                await x.heartbeat(y_member, make_heartbeat())


class TestCalls:
    async def test_records_are_held_and_returned(self):
        async with pair() as (x, y, y_member, _):
            kept = {}
            y.hold_records = kept.__setitem__
            y.held_records = lambda stream: kept.get(stream, [])
            records = [make_record(1), make_record(2)]
            await x.hold(y_member, "journal.a", records)
            assert kept == {"journal.a": records}
            assert await x.held(y_member, "journal.a") == records
            assert await x.held(y_member, "journal.b") == []

    async def test_failed_hold_raises(self):
        async with pair() as (x, _, y_member, _):
            with pytest.raises(PeerUnavailable):
                await x.hold(y_member, "journal.a", [make_record(1)])

    async def test_config_is_pulled(self):
        async with pair() as (x, y, y_member, _):
            taken = []
            y.encode_config = lambda: b"newest"
            x.accept_config = taken.append
            await x.pull_config(y_member)
            assert taken == [b"newest"]

    async def test_only_changed_counts_are_sent(self):
        async with pair() as (x, y, y_member, _):
            loads_received = []

            def receive(one):
                loads_received.append(one.load)
                return make_heartbeat(waiting=7)

            y.answer_heartbeat = receive
            many = {f"engine-{number}": number + 1 for number in range(40)}
            loads = [many] * 6 + [{"engine-1": 5}] * 2
            for in_flight in loads:
                load = PeerLoad(
                    incarnation="x-1", in_flight=in_flight, suspect_digests=("d",)
                )
                answer = await x.heartbeat(y_member, Heartbeat(load=load))
                assert answer.load.waiting == 7
            assert loads_received[0].in_flight == {
                f"engine-{n}": n + 1 for n in range(32, 40)
            }
            assert loads_received[5].in_flight == many
            assert len(loads_received[6].in_flight) == 8
            assert loads_received[7].in_flight == {"engine-1": 5}
            assert all(load.incarnation == "x-1" for load in loads_received)
            assert all(load.suspect_digests == ("d",) for load in loads_received)
