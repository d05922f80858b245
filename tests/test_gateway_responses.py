"""Each caller gets its own complete response, whatever endpoints send."""

import asyncio
import json

import pytest

from eelgrasslock.failures.failure_classifier import CORRELATION_WINDOW_SECONDS
from eelgrasslock.forwarding.forwarder import FULL_ENDPOINT_RETRY_SECONDS
from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.routing.scheduler_configuration import PLAIN_CALLS_PER_SLOT
from eelgrasslock_standins.platform_engine import Fault
from platform_fleet import LOOKUPS, POSTS, SLOTS, TURNS, PlatformFleet, wait_until


@pytest.fixture
async def fleet():
    async with PlatformFleet() as fleet:
        yield fleet


class TestPlainResponses:
    async def test_a_request_is_passed_on_unchanged(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        path = f"{POSTS}a%2Fb//c?d=%20e&&f"
        status, head, body = await fleet.call(
            daemon, path, "POST", b"fee", Request_Id="one", X_More="kept"
        )
        run = engine.runs[0]
        assert (status, body) == (200, b"answer to one")
        assert head.header("server-stamp") == f"{engine.id}.stamp"
        assert head.header("request-id") == "one"
        assert (run.method, run.target, run.body) == ("POST", path, b"fee")
        assert run.headers["x-more"] == "kept"
        assert run.headers["expect-instance"] == engine.id
        assert 0 < int(run.headers["deadline-ms"]) <= 3_000

    async def test_internal_headers_of_callers_are_dropped(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        await fleet.call(
            daemon,
            f"{LOOKUPS}x",
            Hold="h",
            Pin_Ms="9",
            Kv_Backup="1.2.3.4:5",
            Kv_From="1.2.3.4:5/x",
            Kv_Fetch="1.2.3.4:5",
            Expect_Instance="other",
            Connection="X-Hop",
            X_Hop="1",
        )
        names = set(engine.runs[0].headers)
        assert not names & {
            "hold",
            "pin-ms",
            "kv-backup",
            "kv-from",
            "kv-fetch",
            "x-hop",
        }
        assert engine.runs[0].headers["expect-instance"] == engine.id

    async def test_an_endpoints_error_is_relayed(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        engine.faults.append(Fault.ERROR)
        status, head, body = await fleet.call(daemon, f"{POSTS}x", "POST")
        assert (status, body) == (500, b"failed")
        assert head.header("server-stamp")

    @pytest.mark.parametrize(
        "fault",
        [
            Fault.TRUNCATED,
            Fault.GARBAGE,
            Fault.ENCODED,
            Fault.UNSIGNED,
            Fault.LOST,
            Fault.UNFRAMED_RESET,
        ],
    )
    async def test_a_post_with_a_lost_response_runs_once(self, fleet, fault):
        engines = [await fleet.endpoint() for _ in range(2)]
        daemon = await fleet.ready_daemon(engines)
        for engine in engines:
            engine.faults.append(fault)
        status, head, _ = await fleet.call(daemon, f"{POSTS}x", "POST")
        assert status == 502
        assert not head.header("server-stamp")
        assert sum(len(engine.ids()) for engine in engines) == 1

    @pytest.mark.parametrize(
        "fault", [Fault.TRUNCATED, Fault.GARBAGE, Fault.ENCODED, Fault.LOST]
    )
    async def test_a_lookup_with_a_lost_response_is_retried(self, fleet, fault):
        engines = [await fleet.endpoint() for _ in range(2)]
        daemon = await fleet.ready_daemon(engines)
        for engine in engines:
            engine.faults.append(fault)
        engines[0].faults.clear()
        for _ in range(4):
            status, _, body = await fleet.call(
                daemon, f"{LOOKUPS}x", Request_Id="again"
            )
            assert (status, body) == (200, b"answer to again")

    async def test_a_lookup_respects_its_routes_endpoint_limit(self, fleet):
        engines = [await fleet.endpoint() for _ in range(3)]
        daemon = await fleet.ready_daemon(engines)
        for engine in engines:
            engine.faults.append(Fault.LOST)
        status, _, _ = await fleet.call(daemon, f"{LOOKUPS}x")
        assert status == 502
        assert sum(len(engine.ids()) for engine in engines) == 2

    async def test_a_response_without_length_is_complete_at_a_clean_close(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        engine.faults.append(Fault.UNFRAMED)
        status, _, body = await fleet.call(
            daemon, f"{POSTS}x", "POST", Request_Id="one"
        )
        assert (status, body) == (200, b"answer to one")


class TestStaleResponses:
    async def test_an_extra_response_does_not_reach_the_next_caller(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        engine.faults.append(Fault.EXTRA)
        for name in ("one", "two", "three"):
            _, _, body = await fleet.call(daemon, f"{LOOKUPS}x", Request_Id=name)
            assert body == f"answer to {name}".encode()

    async def test_a_late_response_is_skipped_on_the_same_connection(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        engine.faults.append(Fault.LATE)
        for name in ("one", "two", "three"):
            _, _, body = await fleet.call(daemon, f"{POSTS}x", "POST", Request_Id=name)
            assert body == f"answer to {name}".encode()
        assert engine.ids() == ["one", "two", "three"]
        assert engine.connections == 1

    async def test_an_early_response_does_not_truncate_the_request_body(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        engine.faults.append(Fault.EARLY)
        status, _, _ = await fleet.call(daemon, f"{POSTS}x", "POST", b"z" * 50_000)
        assert status == 413
        status, _, body = await fleet.call(
            daemon, f"{POSTS}x", "POST", b"y", Request_Id="two"
        )
        assert (status, body) == (200, b"answer to two")
        assert engine.runs[0].body == b"z" * 50_000
        assert engine.runs[1].body == b"y"


class TestCopiedRefusals:
    """An engine sends an earlier refusal once more on a connection that was kept."""

    @pytest.mark.parametrize("fault", [Fault.FULL_COPIED, Fault.FULL_COPIED_BARE])
    @pytest.mark.parametrize(
        ("path", "method"), [(f"{POSTS}x", "POST"), (f"{LOOKUPS}x", "GET")]
    )
    async def test_the_next_request_runs_once_and_gets_its_answer(
        self, fleet, fault, path, method
    ):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        engine.faults.append(fault)
        await fleet.call(daemon, path, method, Request_Id="refused")
        await asyncio.sleep(FULL_ENDPOINT_RETRY_SECONDS * 1.5)
        status, _, body = await fleet.call(daemon, path, method, Request_Id="next")
        assert (status, body) == (200, b"answer to next")
        assert engine.ids().count("next") == 1

    async def test_a_refusal_without_an_id_is_no_promise(self, fleet):
        """It may be the copy of one that another request got."""
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        engine.faults.append(Fault.FULL_COPIED_BARE)
        status, _, body = await fleet.call(daemon, f"{POSTS}x", "POST")
        assert (status, json.loads(body)["error"]["ran"]) == (502, "unknown")

    async def test_a_turn_behind_a_copy_is_served(self, fleet):
        engine = await fleet.endpoint("models", events=3)
        daemon = await fleet.ready_daemon([engine])
        engine.faults.append(Fault.FULL_COPIED)
        await fleet.turn(daemon, "p")
        await asyncio.sleep(FULL_ENDPOINT_RETRY_SECONDS * 1.5)
        status, body = await fleet.turn(daemon, "p")
        assert (status, body.count(b"data:")) == (200, 3)


class TestNotRun:
    async def test_a_full_endpoint_is_skipped(self, fleet):
        engines = [await fleet.endpoint() for _ in range(2)]
        daemon = await fleet.ready_daemon(engines)
        engines[0].faults.append(Fault.FULL)
        for _ in range(3):
            status, _, _ = await fleet.call(daemon, f"{POSTS}x", "POST")
            assert status == 200

    async def test_a_request_that_no_endpoint_ran_gets_a_retry_time(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        engine.faults += [Fault.FULL] * 8
        status, head, _ = await fleet.call(daemon, f"{POSTS}x", "POST")
        assert status in (429, 503)
        assert float(head.header("retry-after")) > 0
        assert engine.ids() == []

    async def test_another_engine_at_the_address_is_not_asked_to_run(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        engine.id = "i-another"
        status, _, _ = await fleet.call(daemon, f"{POSTS}x", "POST")
        assert status in (429, 503)
        assert engine.ids() == []

    async def test_a_dead_endpoint_is_skipped(self, fleet):
        engines = [await fleet.endpoint() for _ in range(2)]
        daemon = await fleet.ready_daemon(engines)
        await engines[0].stop()
        for _ in range(3):
            status, _, _ = await fleet.call(daemon, f"{POSTS}x", "POST")
            assert status == 200


class TestStreams:
    async def test_events_are_relayed_as_they_arrive(self, fleet):
        engine = await fleet.endpoint("models", events=5, event_seconds=0.02)
        daemon = await fleet.ready_daemon([engine])
        status, body = await fleet.turn(daemon, "p")
        assert status == 200
        assert body.count(b"\n\n") == 5

    async def test_an_interrupted_stream_is_aborted_not_completed(self, fleet):
        engine = await fleet.endpoint("models", events=6)
        daemon = await fleet.ready_daemon([engine])
        engine.faults.append(Fault.TRUNCATED)
        with pytest.raises(ConnectionBroken):
            await fleet.turn(daemon, "p")

    async def test_a_resumed_stream_continues_after_the_callers_last_event(self, fleet):
        engine = await fleet.endpoint("models", events=6)
        daemon = await fleet.ready_daemon([engine])
        fleet.make_known(daemon, "r0")
        status, body = await fleet.turn(daemon, "p", Last_Event_Id=4, Resumes="r0")
        assert status == 200
        assert body.startswith(b"id: 5\n")


class TestDisconnectedCallers:
    async def test_their_stream_is_cancelled_at_once(self, fleet):
        engine = await fleet.endpoint("models", events=200, event_seconds=0.05)
        daemon = await fleet.ready_daemon([engine])
        connection = await fleet.connect(daemon)
        request = fleet.request(f"{TURNS}x", "POST", b"prompt")
        await connection.send(request)
        await connection.read()
        connection.close()
        await wait_until(lambda: not engine.busy, 0.5)
        assert daemon.application.scheduler.endpoint_table.in_flight() == {}

    async def test_their_waiting_request_is_not_sent(self, fleet):
        engine = await fleet.endpoint(work_seconds=0.3)
        daemon = await fleet.ready_daemon([engine])
        slots = int(SLOTS * PLAIN_CALLS_PER_SLOT)
        first = [
            asyncio.create_task(fleet.call(daemon, f"{POSTS}x", "POST"))
            for _ in range(slots)
        ]
        await wait_until(lambda: len(engine.ids()) == slots)
        connection = await fleet.connect(daemon)
        late = asyncio.create_task(
            connection.send(fleet.request(f"{POSTS}late", "POST"))
        )
        await asyncio.sleep(0.05)
        connection.close()
        await asyncio.gather(late, return_exceptions=True)
        await asyncio.gather(*first)
        await asyncio.sleep(0.1)
        assert not [run for run in engine.runs if "late" in run.target]


class TestCrashes:
    async def test_a_request_that_crashes_its_endpoints_is_soon_refused(self, fleet):
        """A caller repeats the request with the same path and body."""
        engines = [await fleet.endpoint() for _ in range(6)]
        daemon = await fleet.ready_daemon(engines)
        for engine in engines:
            engine.crashes_on = b"poison"
        statuses = []
        for _ in range(6):
            await asyncio.sleep(CORRELATION_WINDOW_SECONDS * 1.2)
            status, _, _ = await fleet.call(daemon, f"{POSTS}x", "POST", b"poison")
            statuses.append(status)
        assert statuses[-1] == 503
        assert sum(len(engine.ids()) for engine in engines) <= 3

    async def test_endpoints_unreachable_together_have_not_crashed(self, fleet):
        """A turn was quarantined after two partitions that reset connections."""
        engines = [await fleet.endpoint(work_seconds=5.0) for _ in range(4)]
        daemon = await fleet.ready_daemon(engines)
        calls = [
            asyncio.create_task(
                fleet.call(daemon, f"{POSTS}x", "POST", f"fee {number}".encode())
            )
            for number in range(8)
        ]
        await wait_until(lambda: sum(len(one.ids()) for one in engines) == 8)
        for engine in engines:
            await engine.stop()
        statuses = [status for status, _, _ in await asyncio.gather(*calls)]
        assert set(statuses) == {502}
        quarantine = daemon.application.scheduler.quarantine
        assert not quarantine.suspects_to_report(daemon.application.clock.monotonic())

    async def test_an_endpoint_that_lost_a_response_has_not_crashed(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        engine.faults.append(Fault.LOST)
        assert (await fleet.call(daemon, f"{POSTS}x", "POST", b"fee"))[0] == 502
        assert (await fleet.call(daemon, f"{POSTS}x", "POST", b"fee"))[0] == 200


class TestRequestHeads:
    async def test_a_head_that_is_too_large_is_refused(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        many = {f"X_{number}": "z" * 1_000 for number in range(20)}
        status, _, _ = await fleet.call(daemon, f"{LOOKUPS}x", **many)
        assert status == 431
        assert engine.runs == []


class TestLateProgram:
    async def test_a_negative_finish_time_is_valid(self, fleet):
        engine = await fleet.endpoint()
        daemon = await fleet.ready_daemon([engine])
        status, _, _ = await fleet.call(daemon, f"{LOOKUPS}x", Finish_Ms="-250")
        assert status == 200
        status, _, _ = await fleet.call(daemon, f"{LOOKUPS}x", Finish_Ms="-")
        assert status == 400
