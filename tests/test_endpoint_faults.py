"""Endpoints that leave, crash, go silent or keep memory, before real daemons."""

import asyncio
import contextlib

import pytest
import yaml

from deployment import Deployment
from processes import Processes, eventually

ENGINES = ("e1", "e2", "e3")
LEAVING_SECONDS = 5.0
EXITS_SEEN_SECONDS = 2.0


class EngineDeployment(Deployment):
    """A deployment with three engines and a VM list."""

    async def start(self, **limits) -> "EngineDeployment":
        start = self.processes.standin
        self.engines = {}
        for name in ENGINES:
            arguments = ("--time-scale", "0.02", "--checks-fencing")
            self.engines[name] = await start("engine", "--name", name, *arguments)
        self.vms = await start("vms", "--lag", "1")
        await self.mark("live", *ENGINES)
        await super().start(**limits)
        return self

    def more_settings(self) -> dict:
        return {"vm_list_url": self.vms.url}

    def configuration(self, limits: dict) -> str:
        whole = yaml.safe_load(super().configuration(limits))
        del whole["endpoints"]["e1"]
        for name, engine in self.engines.items():
            whole["endpoints"][name] = {
                "service": "llm",
                "domain": "a",
                "url": engine.url,
                "checks_fencing": True,
            }
        return yaml.safe_dump(whole)

    async def mark(self, state: str, *names: str) -> None:
        """Change what the VM list says of endpoints."""
        for name in names:
            vm = {
                "address": "127.0.0.1",
                "domain": "a",
                "kind": "endpoint",
                "endpoint": name,
                "state": state,
            }
            url = f"{self.vms.url}/vms/vm-{name}"
            async with self.processes.session.put(url, json=vm) as answer:
                assert answer.status == 200

    async def ask(self, text: str, daemon: int = 0, **headers):
        body = {"model": "m", "messages": [{"role": "user", "content": text}]}
        return await self.call(
            "POST", "/v1/chat/completions", body, headers, daemon=daemon
        )

    async def calls(self, name: str) -> int:
        return (await self.processes.get(self.engines[name], "/stats"))["calls"]

    def crashed(self) -> list[str]:
        return [
            name
            for name, engine in self.engines.items()
            if engine.process.returncode is not None
        ]


@pytest.fixture
async def fleet(tmp_path):
    async with Processes(tmp_path) as processes:
        yield await EngineDeployment(processes, ["a", "b"]).start(progress_seconds=1.0)


class TestLeaving:
    @pytest.mark.parametrize("source", ["load report", "VM list"])
    async def test_gets_no_new_work_while_the_other_source_is_down(self, fleet, source):
        if source == "load report":
            await fleet.processes.control(fleet.vms, outage=True)
            await fleet.processes.control(fleet.engines["e1"], leaving=True)
        else:
            await fleet.processes.control(fleet.engines["e1"], load_down=True)
            await fleet.mark("leaving", "e1")
        await asyncio.sleep(LEAVING_SECONDS)
        before = await fleet.calls("e1")
        asked = [fleet.ask(f"q{n}", daemon=n % 2) for n in range(30)]
        answers = await asyncio.gather(*asked)
        assert {answer.status for answer in answers} == {200}
        assert {answer.headers["Eelgrass-Endpoint"] for answer in answers} == {
            "e2",
            "e3",
        }
        assert await fleet.calls("e1") == before


class TestPoison:
    async def test_a_request_that_crashes_engines_is_stopped_after_two(self, fleet):
        first = await fleet.ask("[crash] now")
        assert first.status == 502
        assert first.error["ran"] == "unknown"
        for daemon in (1, 0, 1, 0):
            again = await fleet.ask("[crash] now", daemon)
            assert again.error["code"] == "quarantined"
            assert again.error["ran"] == "no"
        await asyncio.sleep(EXITS_SEEN_SECONDS)
        assert len(fleet.crashed()) == 2

    async def test_the_others_are_served_on(self, fleet):
        await fleet.ask("[crash] now")

        async def served():
            answers = [await fleet.ask("harmless", daemon) for daemon in (0, 1)]
            return all(answer.status == 200 for answer in answers)

        await eventually(served, 20.0)


class TestSilence:
    async def test_a_silent_connection_costs_no_answer(self, fleet):
        for name in ENGINES:
            await fleet.processes.control(
                fleet.engines[name], silent_streams=1, fault_after_events=2
            )
        answers = await asyncio.gather(
            *(fleet.ask(f"[tokens=9] q{n}") for n in range(6))
        )
        assert {answer.status for answer in answers} == {200}
        for answer in answers:
            text = answer.body["choices"][0]["message"]["content"]
            assert len(text) == 9 * 4
        total = sum([await fleet.calls(name) for name in ENGINES])
        assert total == 6

    async def test_a_frozen_engine_is_left_for_another(self, fleet):
        await fleet.processes.control(fleet.engines["e1"], hang=True)
        answers = await asyncio.gather(*(fleet.ask(f"q{n}") for n in range(12)))
        assert {answer.status for answer in answers} == {200}


class TestMemory:
    async def test_is_released_when_a_program_ends_although_orders_fail(self, fleet):
        program = await fleet.create()
        await fleet.turn(program)
        (holder,) = [name for name in ENGINES if await self._held(fleet, name)]
        await fleet.processes.control(fleet.engines[holder], hang=True)
        path = f"/v1/programs/{program.id}"
        ended = await fleet.call("DELETE", path, None, program.headers)
        assert ended.status == 200
        await asyncio.sleep(2.0)
        await fleet.processes.control(fleet.engines[holder], hang=False)

        async def released():
            return not await self._held(fleet, holder)

        await eventually(released, 20.0)

    async def _held(self, fleet, name):
        held = await fleet.processes.get(fleet.engines[name], "/sessions")
        return held["sessions"]


class TestCallerLeaves:
    async def test_work_is_cancelled_at_the_engine(self, fleet):
        for name in ENGINES:
            await fleet.processes.control(fleet.engines[name], slow_factor=200)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await fleet.ask("[tokens=200]")

        async def idle():
            stats = [
                await fleet.processes.get(engine, "/stats")
                for engine in fleet.engines.values()
            ]
            return not any(one["running"] + one["waiting"] for one in stats)

        await eventually(idle, 10.0)
