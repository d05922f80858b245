import aiohttp
import pytest
from loguru import logger

from eelgrasslock.configuration.folder import load_configuration
from eelgrasslock.operators.operator_edits import (
    LEAVING_FILE,
    QUARANTINED_FILE,
    carry_over,
    set_leaving,
    set_quarantined,
)
from fake_application import ABROAD, HOME, KEYS, fake_application, served
from fake_config import DEPLOYMENT, folder


@pytest.fixture
def application():
    return fake_application()


@pytest.fixture
def url(application):
    with served(application) as url:
        yield url


async def call(url, method, path, key=None, **options):
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    async with (
        aiohttp.ClientSession() as session,
        session.request(
            method, f"{url}/operator/{path}", headers=headers, **options
        ) as response,
    ):
        return response.status, await response.json()


def order(record_id="r1", latency=1.0, replaces="", author="ana"):
    files = folder(latency)
    return {"id": record_id, "author": author, "replaces": replaces, "files": files}


class TestKeys:
    @pytest.mark.parametrize(
        ("key", "status"),
        [
            (None, 401),
            ("wrong", 401),
            (KEYS[0][:-1], 401),
            (KEYS[0] + "x", 401),
            ("kéy", 401),
            (KEYS[0], 200),
            (KEYS[1], 200),
        ],
    )
    async def test_all_given_keys_open_and_nothing_else(self, key, status):
        lines = []
        sink = logger.add(lines.append)
        with served(fake_application(KEYS)) as url:
            assert (await call(url, "GET", "fleet", key))[0] == status
            assert (await call(url, "POST", "config", key, json={}))[0] in (401, 400)
        logger.remove(sink)
        assert any("no valid key" in line for line in lines) == (status == 401)
        assert not any(secret in line for line in lines for secret in KEYS)

    async def test_open_without_keys(self, url):
        assert (await call(url, "GET", "fleet"))[0] == 200


class TestConfig:
    async def test_publish_and_read(self, url):
        assert (await call(url, "GET", "config"))[0] == 404
        status, version = await call(url, "POST", "config", json=order())
        assert (status, version["version"], version["author"]) == (200, 1, "ana")
        status, version = await call(url, "GET", "config")
        assert (version["id"], version["files"]) == ("r1", folder())

    async def test_conflict_names_the_other_version_and_operator(self, url):
        await call(url, "POST", "config", json=order())
        await call(url, "POST", "config", json=order("r2", 2.0, "r1"))
        status, body = await call(
            url, "POST", "config", json=order("r3", 3.0, "r1", "ben")
        )
        assert status == 409
        error = body["error"]
        assert (error["code"], error["version"], error["author"]) == (
            "conflict",
            2,
            "ana",
        )

    async def test_findings_come_with_their_places(self, url):
        bad = order()
        bad["files"]["90.yaml"] = "limits:\n  call_secs: 1\n"
        status, body = await call(url, "POST", "config", json=bad)
        (finding,) = body["error"]["findings"]
        assert status == 422
        assert (finding["file"], finding["line"]) == ("90.yaml", 2)

    async def test_log_outage_and_lost_answer(self, application, url):
        stream = application.writer.stream
        stream.up = False
        status, body = await call(url, "POST", "config", json=order())
        assert (status, body["error"]["code"]) == (503, "log_unavailable")
        stream.up, stream.lose_answers = True, True
        status, body = await call(url, "POST", "config", json=order())
        assert (status, body["error"]["code"]) == (504, "unresolved")
        assert (await call(url, "POST", "config", json=order()))[0] == 200
        assert len(stream.entries) == 1

    @pytest.mark.parametrize(
        ("options", "status"),
        [
            ({"data": b"{"}, 400),
            ({"data": b"\xff"}, 400),
            ({"json": []}, 400),
            ({"json": {"files": {}}}, 400),
            ({"json": {**order(), "more": 1}}, 400),
            ({"data": b"[" * 50_000}, 400),
            ({"data": b" " * 300_000}, 413),
        ],
        ids=["cut", "no text", "list", "missing", "unknown", "deep", "large"],
    )
    async def test_bad_bodies(self, url, options, status):
        assert (await call(url, "POST", "config", **options))[0] == status


class TestFleet:
    async def test_members_endpoints_and_programs(self, url):
        await call(url, "POST", "config", json=order())
        _, fleet = await call(url, "GET", "fleet")
        rows = [(m["name"], m["silent"], m["answering"]) for m in fleet["members"]]
        assert rows == [("a-1", False, True), ("b-1", True, False)]
        _, endpoints = await call(url, "GET", "endpoints")
        assert [one["endpoint"] for one in endpoints] == ["one", "two"]
        _, programs = await call(url, "GET", "programs")
        assert (programs[0]["program"], programs[0]["spent_tokens"]) == (HOME, 70)

    async def test_explain_names_who_may_know_more(self, url):
        assert (await call(url, "GET", f"programs/{HOME}"))[0] == 200
        status, body = await call(url, "GET", f"programs/{ABROAD}")
        assert (status, body["error"]["ask"]) == (404, ["127.0.0.1:2"])
        status, body = await call(url, "GET", "programs/garbage")
        assert (status, body["error"]["ask"]) == (404, [])

    async def test_a_fault_shows_nothing_of_itself(self, application, url):
        application.scheduler.configuration = None
        status, body = await call(url, "GET", "endpoints")
        assert (status, body["error"]["code"]) == (500, "internal")
        assert "NoneType" not in str(body)


class TestActions:
    @pytest.mark.parametrize(
        ("action", "result", "status"),
        [("fee-1", "done", 200), ("fee-1", "maybe", 400), ("fee-2", "not_run", 404)],
    )
    async def test_resolve(self, application, url, action, result, status):
        body = {"author": "ana", "service": "app", "action": action, "result": result}
        assert (await call(url, "POST", "actions/resolve", json=body))[0] == status
        expected = [("app", "fee-1", "done", "ana")] if status == 200 else []
        assert application.actions.resolved == expected
        _, left = await call(url, "GET", "actions")
        assert len(left) == (0 if expected else 1)


class TestEdits:
    async def test_drain_and_undo(self, application, url):
        await call(url, "POST", "config", json=order())
        path, body = "endpoints/one/drain", {"author": "ana"}
        _, version = await call(url, "POST", path, json=body)
        endpoints = application.configuration.current.endpoints
        assert (version["version"], endpoints["one"].leaving) == (2, True)
        _, version = await call(url, "POST", path, json={**body, "undo": True})
        assert version["version"] == 3
        assert application.configuration.record.files == folder()
        assert (await call(url, "POST", "endpoints/x/drain", json=body))[0] == 404

    async def test_an_edit_wins_against_a_racing_operator(self, application, url):
        await call(url, "POST", "config", json=order())
        append = application.writer.append

        async def append_second(name, record, timeout=None):
            application.writer.append = append
            await application.publish("other", 7.0)
            return await append(name, record, timeout)

        application.writer.append = append_second
        body = {"author": "ana"}
        status, version = await call(url, "POST", "quarantine/d1", json=body)
        assert (status, version["version"]) == (200, 3)
        assert application.latency == 7.0
        assert application.configuration.current.quarantined == ["d1"]

    async def test_quarantine_and_release(self, application, url):
        await call(url, "POST", "config", json=order())
        body = {"author": "ana"}
        await call(url, "POST", "quarantine/d1", json=body)
        await call(url, "POST", "quarantine/d2", json=body)
        _, again = await call(url, "POST", "quarantine/d2", json=body)
        assert again["version"] == 3
        await call(url, "DELETE", "quarantine/d1", json=body)
        assert application.configuration.current.quarantined == ["d2"]

    async def test_a_release_forgets_crashes_each_time(self, application, url):
        await call(url, "POST", "config", json=order())
        quarantine = application.scheduler.quarantine
        for count in (1, 2):
            _, views = await call(url, "GET", "quarantine")
            held = [(one["digest"], one["refused"]) for one in views]
            assert held == [("d7", True), ("d8", False)]
            await call(url, "DELETE", "quarantine/d7", json={"author": "ana"})
            assert not quarantine.is_quarantined("d7")
            assert application.configuration.current.released == {"d7": count}
            quarantine.record_crash(["d7"], 1.0)
            quarantine.record_crash(["d7"], 2.0)
        await call(url, "POST", "quarantine/d1", json={"author": "ana"})
        assert quarantine.is_quarantined("d7")

    def test_edits_override_what_the_folder_sets(self):
        base = folder(
            **{
                "60.yaml": "endpoints: {one: {leaving: true}}\n",
                "70.yaml": "quarantined: [x, '12345']\n",
            }
        )
        edited = set_leaving(base, "one", False)
        edited = set_quarantined(edited, "12345", False)
        configuration = load_configuration(edited).configuration
        assert not configuration.endpoints["one"].leaving
        assert configuration.quarantined == ["x"]
        undone = set_quarantined(set_leaving(edited, "one", True), "12345", True)
        assert load_configuration(undone).configuration.released == {"12345": 1}
        assert undone.keys() - base.keys() == {QUARANTINED_FILE}

    def test_publishing_a_folder_keeps_drains_and_quarantines(self):
        in_force = set_leaving(set_leaving(folder(), "one", True), "two", True)
        in_force = set_quarantined(in_force, "d1", True)
        in_force = set_quarantined(in_force, "d2", False)
        smaller = {"10.yaml": DEPLOYMENT, "20.yaml": "endpoints: {two: null}\n"}
        carried = carry_over(in_force, smaller)
        assert {LEAVING_FILE, QUARANTINED_FILE} < set(carried)
        configuration = load_configuration(carried).configuration
        assert configuration.endpoints["one"].leaving
        assert configuration.quarantined == ["d1"]
        assert configuration.released == {"d2": 1}
