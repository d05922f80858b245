import asyncio
import base64
import json

import aiohttp
import pytest

from eelgrasslock_standins.answers import make_answer
from processes import Processes, eventually

SCALE = ("--time-scale", "0.01")
QUESTION = [{"role": "user", "content": "How deep is the borehole? " * 20}]


@pytest.fixture
async def processes(tmp_path):
    async with Processes(tmp_path) as started:
        yield started


async def ask(processes, engine, messages, program="", **options):
    body = {"model": "hydro", "messages": messages, **options}
    headers = {"Eelgrass-Program": program} if program else {}
    url = engine.url + "/v1/chat/completions"
    async with processes.session.post(url, json=body, headers=headers) as answer:
        return answer.status, await answer.json()


async def append(processes, log, data):
    async with processes.session.post(log.url + "/streams/s", data=data) as answer:
        return answer.status, await answer.json()


async def read(processes, log, start=0):
    url = f"{log.url}/streams/s?from={start}"
    async with processes.session.get(url) as answer:
        return answer.status, await answer.json()


class TestLogStandin:
    async def test_gives_back_what_was_appended(self, processes):
        log = await processes.standin("log")
        assert await append(processes, log, b"one") == (200, {"offset": 0})
        assert await append(processes, log, b"two") == (200, {"offset": 1})
        status, answer = await read(processes, log, 1)
        assert status == 200
        assert [base64.b64decode(e["data"]) for e in answer["entries"]] == [b"two"]
        assert answer["end"] == 2
        assert (await read(processes, log, 7))[1]["entries"] == []

    @pytest.mark.parametrize(
        ("fault", "took_effect"), [("lose_answers", 1), ("lose_requests", 0)]
    )
    async def test_cuts_appends_off(self, processes, fault, took_effect):
        log = await processes.standin("log")
        await processes.control(log, **{fault: 1})
        with pytest.raises(aiohttp.ClientError):
            await append(processes, log, b"one")
        assert len((await read(processes, log))[1]["entries"]) == took_effect

    @pytest.mark.parametrize(
        ("faults", "status"),
        [({"outage": True}, 503), ({"appends_per_second": 0.0}, 429)],
    )
    async def test_refuses(self, processes, faults, status):
        log = await processes.standin("log")
        await processes.control(log, **faults)
        if status == 429:
            await append(processes, log, b"takes the last token")
        assert (await append(processes, log, b"one"))[0] == status

    async def test_drops_what_retention_does_not_cover(self, processes):
        log = await processes.standin("log")
        await processes.control(log, retention_entries=1)
        await append(processes, log, b"one")
        await append(processes, log, b"two")
        assert await read(processes, log) == (410, {"first": 1})

    async def test_names_an_unknown_switch(self, processes):
        log = await processes.standin("log")
        url = log.url + "/control"
        async with processes.session.post(url, json={"outrage": True}) as answer:
            assert answer.status == 400
            assert "outrage" in await answer.text()


class TestVMListStandin:
    async def test_shows_a_change_after_its_lag(self, processes):
        vms = await processes.standin("vms", "--lag", "1000")
        url = vms.url + "/vms/e1"
        async with processes.session.put(url, json={"state": "leaving"}):
            pass
        assert (await processes.get(vms, "/vms"))["vms"] == []
        await processes.control(vms, lag_seconds=0)
        shown = (await processes.get(vms, "/vms"))["vms"]
        assert shown == [{"name": "e1", "state": "leaving"}]


class TestEngineStandin:
    async def test_caches_the_prefix_of_the_next_turn(self, processes):
        engine = await processes.standin("engine", *SCALE)
        _, first = await ask(processes, engine, QUESTION)
        _, again = await ask(processes, engine, QUESTION)
        message = first["choices"][0]["message"]
        assert message == again["choices"][0]["message"]
        assert first["usage"]["prompt_tokens_details"]["cached_tokens"] == 0
        follow_up = [*QUESTION, message, {"role": "user", "content": "And now?"}]
        _, second = await ask(processes, engine, follow_up)
        cached = second["usage"]["prompt_tokens_details"]["cached_tokens"]
        assert cached >= first["usage"]["prompt_tokens"] - 16

    async def test_evicts_beyond_its_cache(self, processes):
        engine = await processes.standin("engine", *SCALE, "--cache-tokens", "160")
        await processes.control(engine, event_lag_seconds=0, event_loss=0)
        await ask(processes, engine, QUESTION)
        await ask(processes, engine, [{"role": "user", "content": "Other " * 100}])
        events = (await processes.get(engine, "/cache/events"))["events"]
        assert any(event["evicted"] for event in events)

    async def test_holds_a_program_until_its_release(self, processes):
        engine = await processes.standin("engine", *SCALE, "--checks-fencing")
        await ask(processes, engine, QUESTION, program="p1")
        held = (await processes.get(engine, "/sessions"))["sessions"]
        assert [one["program"] for one in held] == ["p1"]
        url = engine.url + "/sessions/p1/release"
        statuses = []
        for fence in (5, 4, 6):
            async with processes.session.post(url, json={"fence": fence}) as answer:
                statuses.append(answer.status)
        assert statuses == [200, 409, 200]
        assert (await processes.get(engine, "/sessions"))["sessions"] == []

    @pytest.mark.parametrize(
        ("faults", "body", "status"),
        [
            ({"refuse": 1}, {}, 429),
            ({"fail": 1}, {}, 500),
            ({"leaving": True}, {}, 503),
            ({}, {"messages": []}, 400),
            ({}, {"model": "other"}, 404),
            ({}, {"messages": [{"role": "user", "content": "x" * 9_000}]}, 400),
        ],
    )
    async def test_refuses(self, processes, faults, body, status):
        engine = await processes.standin(
            "engine", *SCALE, "--model", "hydro", "--context-tokens", "2000"
        )
        await processes.control(engine, **faults)
        asked = {"messages": QUESTION, **body}
        got, answer = await ask(processes, engine, **asked)
        assert got == status
        assert answer["error"]["message"]

    async def test_crashes_on_a_marked_request(self, processes):
        engine = await processes.standin("engine", *SCALE)
        with pytest.raises(aiohttp.ClientError):
            await ask(processes, engine, [{"role": "user", "content": "[crash]"}])
        assert await engine.process.wait() == 70

    async def test_batch_limit_queues_the_rest(self, processes):
        engine = await processes.standin(
            "engine", "--batch-limit", "1", "--decode-rate", "1"
        )
        await processes.control(engine, load_lag_seconds=0)
        asked = [
            asyncio.create_task(ask(processes, engine, QUESTION)) for _ in range(3)
        ]

        async def taken():
            return (await processes.get(engine, "/stats"))["calls"] == 3

        await eventually(taken)
        load = await processes.get(engine, "/load")
        assert (load["running"], load["queued"]) == (1, 2)
        for task in asked:
            task.cancel()

    async def test_moves_blocks_to_another_engine(self, processes):
        one = await processes.standin("engine", *SCALE)
        other = await processes.standin("engine", *SCALE)
        await ask(processes, one, QUESTION, program="p1")
        url = one.url + "/kv/export"
        async with processes.session.post(url, json={"program": "p1"}) as answer:
            exported = await answer.json()
        url = other.url + "/kv/import"
        async with processes.session.post(url, json=exported) as answer:
            assert (await answer.json())["imported"] == len(exported["blocks"]) > 0
        _, answer = await ask(processes, other, QUESTION, program="p1")
        assert answer["usage"]["prompt_tokens_details"]["cached_tokens"] > 0


class TestServiceStandin:
    async def test_acts_though_its_answer_is_lost(self, processes):
        service = await processes.standin("service")
        await processes.control(service, lose_answers=1)
        headers = {"Idempotency-Key": "fee-1"}
        url = service.url + "/fees"
        with pytest.raises(aiohttp.ClientError):
            await processes.session.post(url, data="{}", headers=headers)
        assert (await processes.get(service, "/postings"))["count"] == 1
        assert (await processes.get(service, "/actions/fee-1"))["ran"] is True
        assert (await processes.get(service, "/actions/fee-2"))["ran"] is False


class TestWeightStandin:
    async def test_limits_its_rate(self, processes):
        store = await processes.standin("weights", "--rate", "1")
        statuses = []
        for _ in range(2):
            async with processes.session.get(store.url + "/weights/m") as answer:
                statuses.append(answer.status)
        assert statuses == [200, 429]


class TestAnswers:
    def test_marked_answers_follow_the_request(self):
        messages = [{"role": "user", "content": "[tool=lookup] [tokens=5]"}]
        assert make_answer("m", messages, [{}], None).tool == "lookup"
        short = make_answer("m", messages, [], 3)
        assert (len(short.tokens), short.finish_reason) == (3, "length")
        assert json.dumps(short.tokens) == json.dumps(
            make_answer("m", messages, [], 5).tokens[:3]
        )
