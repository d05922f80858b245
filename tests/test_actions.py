import asyncio

import pytest

from eelgrasslock.actions.action_guard import MAX_RECORDED_BODY_BYTES
from eelgrasslock.actions.action_records import ActionResult
from eelgrasslock.actions.action_sweep import ACTION_RETENTION_SECONDS, StatusAnswer
from eelgrasslock.exceptions import Ran, Refusal
from fleet import Fleet, plain_call, refused


@pytest.fixture
async def fleet():
    fleet = Fleet()
    yield fleet
    await fleet.stop()


@pytest.fixture
async def daemon(fleet):
    return await fleet.add("a1")


@pytest.fixture
async def other(fleet, daemon):
    return await fleet.add("a2")


async def post(fleet, daemon, action, **changes):
    exchange = plain_call(action, **changes)
    await fleet.run(daemon.serve(exchange))
    return exchange.responder


class TestAtMostOnce:
    async def test_repeat_gets_the_recorded_answer(self, fleet, daemon, other):
        first = await post(fleet, daemon, "fee-1")
        for one in (daemon, other):
            again = await post(fleet, one, "fee-1")
            assert again.body == first.body == b"posted 1"
            assert again.headers["Eelgrass-Replayed"] == "true"
        assert len(fleet.engine.runs) == 1

    @pytest.mark.parametrize("posting", [b"\xff\x00 %d", b"%d" + b"x" * 20_000])
    async def test_repeat_gets_the_whole_answer_or_none(self, fleet, daemon, posting):
        fleet.engine.posting = posting
        first = await post(fleet, daemon, "fee-1")
        if len(posting) > MAX_RECORDED_BODY_BYTES:
            refusal = await refused(fleet, daemon.serve(plain_call("fee-1")))
            assert (refusal.code, refusal.ran) == ("action_done", Ran.YES)
        else:
            assert (await post(fleet, daemon, "fee-1")).body == first.body
        assert len(fleet.engine.runs) == 1

    async def test_racing_daemons_run_it_once(self, fleet, daemon, other):
        calls = [one.serve(plain_call("fee-1")) for one in (daemon, other) * 3]
        results = await fleet.run(asyncio.gather(*calls, return_exceptions=True))
        assert len(fleet.engine.runs) == 1
        refusals = [one for one in results if one is not None]
        assert {one.ran for one in refusals} <= {Ran.UNKNOWN}

    @pytest.mark.parametrize(
        "changes",
        [
            {"body": b"other"},
            {"method": "PUT"},
            {"rest": "/numbers"},
            {"program": "riga-a~a1~1"},
        ],
    )
    async def test_other_request_with_the_same_id_is_refused(
        self, fleet, daemon, other, changes
    ):
        await post(fleet, daemon, "fee-1")
        work = other.serve(plain_call("fee-1", **changes))
        refusal = await refused(fleet, work)
        assert (refusal.status, refusal.ran) == (422, Ran.NO)
        assert len(fleet.engine.runs) == 1

    async def test_idempotent_operation_needs_no_id(self, fleet, daemon):
        for _ in range(2):
            await post(fleet, daemon, "", method="GET", rest="/status/7")
        assert len(fleet.engine.runs) == 2

    @pytest.mark.parametrize("action", ["", "x" * 201])
    async def test_operation_without_id_is_refused_unrun(self, fleet, daemon, action):
        refusal = await refused(fleet, daemon.serve(plain_call(action)))
        assert (refusal.code, refusal.ran) == ("action_id_missing", Ran.NO)
        assert not fleet.engine.runs


class TestFailures:
    @pytest.mark.parametrize(
        ("fault", "fault_tokens", "ran"),
        [
            (Refusal("busy", "Busy.", 503, Ran.NO), 0, Ran.NO),
            (Refusal("gone", "Gone.", 502, Ran.UNKNOWN), 0, Ran.NO),
            (Refusal("lost", "Lost.", 502, Ran.UNKNOWN), 1, Ran.UNKNOWN),
            (RuntimeError("bug"), 1, Ran.UNKNOWN),
        ],
    )
    async def test_only_what_was_not_sent_may_run_again(
        self, fleet, daemon, other, fault, fault_tokens, ran
    ):
        fleet.engine.fault, fleet.engine.fault_tokens = fault, fault_tokens
        with pytest.raises(type(fault)):
            await fleet.run(daemon.serve(plain_call("fee-1")))
        fleet.engine.fault = None
        await fleet.settle(2.0)
        runs = len(fleet.engine.runs)
        if ran is Ran.NO:
            await post(fleet, other, "fee-1")
            assert len(fleet.engine.runs) == runs + 1
            return
        refusal = await refused(fleet, other.serve(plain_call("fee-1")))
        assert (refusal.code, refusal.ran) == ("outcome_unknown", Ran.UNKNOWN)
        assert refusal.retry_after
        assert len(fleet.engine.runs) == runs

    @pytest.mark.parametrize("gone", ["cancelled", "connection_lost"])
    async def test_request_of_a_caller_that_went_away_runs_to_its_end(
        self, fleet, daemon, other, gone
    ):
        fleet.engine.gate = asyncio.Event()
        call = plain_call("fee-1")
        responder = call.responder
        task = asyncio.create_task(daemon.serve(call))
        await fleet.settle(2.0)
        if gone == "cancelled":
            task.cancel()
        responder.broken = True
        await fleet.settle(2.0)
        fleet.engine.gate.set()
        await fleet.settle(2.0)
        with pytest.raises((asyncio.CancelledError, ConnectionResetError)):
            await task
        again = await post(fleet, other, "fee-1")
        assert again.body == b"posted 1"
        assert len(fleet.engine.runs) == 1

    async def test_caller_that_goes_away_early_leaves_the_action_free(
        self, fleet, daemon, other
    ):
        fleet.engine.sent = False
        fleet.engine.gate = asyncio.Event()
        task = asyncio.create_task(daemon.serve(plain_call("fee-1")))
        await fleet.settle(2.0)
        task.cancel()
        await fleet.settle(2.0)
        fleet.engine.gate, fleet.engine.sent = None, True
        runs = len(fleet.engine.runs)
        await post(fleet, other, "fee-1")
        assert len(fleet.engine.runs) == runs + 1

    async def test_killed_daemon_leaves_an_unknown_outcome(self, fleet, daemon, other):
        fleet.engine.gate = asyncio.Event()
        task = asyncio.create_task(daemon.serve(plain_call("fee-1")))
        await fleet.settle(2.0)
        await daemon.kill()
        refusal = await refused(fleet, other.serve(plain_call("fee-1")))
        assert refusal.ran is Ran.UNKNOWN
        other.actions.is_live = lambda incarnation: True
        assert not other.actions.unresolved()
        other.actions.is_live = lambda incarnation: False
        assert [one.action for one in other.actions.unresolved()] == ["fee-1"]
        fleet.engine.gate.set()
        await fleet.run(asyncio.gather(task, return_exceptions=True))
        assert len(fleet.engine.runs) == 1

    async def test_nothing_runs_while_the_log_is_down(self, fleet, daemon):
        fleet.log.down = True
        refusal = await refused(fleet, daemon.serve(plain_call("fee-1")))
        assert (refusal.code, refusal.ran) == ("journal_unavailable", Ran.NO)
        before = fleet.clock.time
        await refused(fleet, daemon.serve(plain_call("fee-1")))
        assert fleet.clock.time - before < 0.2
        assert not fleet.engine.runs

    @pytest.mark.parametrize("switch", ["lose_answers", "lose_requests", "late"])
    async def test_lost_answer_to_the_intent_runs_it_once_at_most(
        self, fleet, daemon, other, switch
    ):
        setattr(fleet.log, switch, 1)
        calls = [one.serve(plain_call("fee-1")) for one in (daemon, other)]
        await fleet.run(asyncio.gather(*calls, return_exceptions=True))
        fleet.log.release_late()
        await fleet.settle(20.0)
        for one in (daemon, other):
            await fleet.run(
                asyncio.gather(one.serve(plain_call("fee-1")), return_exceptions=True)
            )
        assert len(fleet.engine.runs) == 1

    async def test_intent_that_was_given_up_is_freed(self, fleet, daemon, other):
        fleet.log.late = 1
        fleet.log.delay = 4.0
        refusal = await refused(fleet, daemon.serve(plain_call("fee-1")))
        assert refusal.ran is Ran.NO
        fleet.log.delay = 0.0
        fleet.log.release_late()
        await fleet.settle(30.0)
        await post(fleet, other, "fee-1")
        assert len(fleet.engine.runs) == 1

    async def test_answer_reaches_the_caller_when_its_record_does_not(
        self, fleet, daemon, other
    ):
        fleet.engine.gate = asyncio.Event()
        call = plain_call("fee-1")
        task = asyncio.create_task(daemon.serve(call))
        await fleet.settle(2.0)
        fleet.log.down = True
        fleet.engine.gate.set()
        await fleet.run(task)
        assert call.responder.body == b"posted 1"
        again = await post(fleet, daemon, "fee-1")
        assert again.body == b"posted 1"
        fleet.log.down = False
        await fleet.settle(60.0)
        again = await post(fleet, other, "fee-1")
        assert again.body == b"posted 1"
        assert len(fleet.engine.runs) == 1


class TestResolution:
    async def _unknown(self, fleet, daemon):
        fleet.engine.fault = Refusal("lost", "Lost.", 502, Ran.UNKNOWN)
        fleet.engine.fault_tokens = 1
        await refused(fleet, daemon.serve(plain_call("fee-1")))
        fleet.engine.fault = None
        await fleet.settle(1.0)

    async def test_operator_finds_that_it_did_not_run(self, fleet, daemon, other):
        await self._unknown(fleet, daemon)
        await self._resolve(fleet, other, ActionResult.NOT_RUN)
        await post(fleet, daemon, "fee-1")
        assert len(fleet.engine.runs) == 2

    async def test_operator_finds_that_it_ran(self, fleet, daemon, other):
        await self._unknown(fleet, daemon)
        await self._resolve(fleet, other, ActionResult.DONE)
        refusal = await refused(fleet, daemon.serve(plain_call("fee-1")))
        assert (refusal.code, refusal.ran) == ("action_done", Ran.YES)
        assert not daemon.actions.unresolved()
        assert len(fleet.engine.runs) == 1

    async def _resolve(self, fleet, daemon, result):
        work = daemon.actions.resolve("licence-app", "fee-1", result, "ilze")
        await fleet.run(work)
        await fleet.settle(1.0)

    async def test_operator_cannot_free_what_may_still_be_sent(
        self, fleet, daemon, other
    ):
        fleet.engine.gate = asyncio.Event()
        task = asyncio.create_task(daemon.serve(plain_call("fee-1")))
        await fleet.settle(2.0)
        other.actions.is_live = lambda incarnation: incarnation == "a1"
        work = other.actions.resolve(
            "licence-app", "fee-1", ActionResult.NOT_RUN, "ilze"
        )
        assert (await refused(fleet, work)).code == "outcome_unknown"
        fleet.engine.gate.set()
        await fleet.run(task)

    @pytest.mark.parametrize(
        ("answer", "seconds", "settled"),
        [
            (ActionResult.DONE, 20.0, True),
            (ActionResult.NOT_RUN, 20.0, False),
            (ActionResult.NOT_RUN, 120.0, True),
            (ActionResult.UNKNOWN, 120.0, False),
        ],
    )
    async def test_service_settles_it(self, fleet, daemon, answer, seconds, settled):
        async def status_call(service, action):
            return StatusAnswer(
                result=answer, status=201, body="number 7", content_type="text/plain"
            )

        daemon.actions.sweep.status_call = status_call
        await self._unknown(fleet, daemon)
        await fleet.settle(seconds, step=0.5)
        assert bool(daemon.actions.unresolved()) is not settled
        if answer is ActionResult.DONE:
            again = await post(fleet, daemon, "fee-1")
            assert (again.status, again.body) == (201, b"number 7")


class TestRetention:
    async def test_actions_outlive_the_logs_retention(self, fleet, daemon):
        await post(fleet, daemon, "fee-1")
        streams = fleet.log.streams
        (name,) = (name for name in streams if name.startswith("actions"))
        for _ in range(5):
            kept = len(streams[name])
            fleet.clock.advance(2_000.0)
            await fleet.settle(20.0, step=0.5)
            assert len(streams[name]) > kept
            streams[name] = streams[name][kept:]
        fleet.log.retention = 100
        fresh = await fleet.add("a2")
        again = await post(fleet, fresh, "fee-1")
        assert again.body == b"posted 1"
        assert len(fleet.engine.runs) == 1

    async def test_action_older_than_the_memory_is_refused_as_unknown(
        self, fleet, daemon
    ):
        issued = {"eelgrass-issued-at": str(fleet.clock.now())}
        await post(fleet, daemon, "fee-1", headers=issued)
        fleet.clock.advance(ACTION_RETENTION_SECONDS + 1)
        await fleet.settle(20.0, step=0.5)
        assert daemon.actions.find("licence-app", "fee-1") is None
        work = daemon.serve(plain_call("fee-1", headers=issued))
        refusal = await refused(fleet, work)
        assert (refusal.code, refusal.ran) == ("action_too_old", Ran.UNKNOWN)
        assert len(fleet.engine.runs) == 1

    async def test_unknown_outcomes_are_never_forgotten(self, fleet, daemon):
        fleet.engine.fault = RuntimeError("lost")
        fleet.engine.fault_tokens = 1
        with pytest.raises(RuntimeError):
            await fleet.run(daemon.serve(plain_call("fee-1")))
        fleet.clock.advance(2 * ACTION_RETENTION_SECONDS)
        await fleet.settle(20.0, step=0.5)
        assert daemon.actions.unresolved()
