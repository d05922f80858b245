"""A small deployment of real processes, and a caller of it."""

import json
import pathlib
import signal
import uuid

import aiohttp
import yaml
from attrs import define, field

from processes import Processes, RunningProcess, eventually, free_ports

OPERATOR_KEY = "operator-key-for-tests"
PEER_KEY = "peer-key-for-tests"
_CALL_SECONDS = 30.0


@define
class Answer:
    status: int
    headers: dict
    data: bytes

    @property
    def body(self):
        return json.loads(self.data)

    @property
    def error(self):
        return self.body["error"]


@define
class Program:
    """What a caller keeps of its program."""

    id: str
    secret: str
    messages: list = field(factory=list)
    turn: int = 0

    @property
    def headers(self):
        return {"Eelgrass-Program": self.id, "Eelgrass-Secret": self.secret}


class Deployment:
    """Stand-ins and daemons in failure domains a and b.

    Parameters
    ----------
    processes : Processes
        Ends everything when the test is over.
    domains : list of str
        The failure domain of each daemon.
    """

    def __init__(self, processes: Processes, domains: list[str]) -> None:
        self.processes = processes
        self.domains = domains
        self.daemons: list[RunningProcess] = []
        ports = free_ports(2 * len(domains))
        self.http = [f"127.0.0.1:{port}" for port in ports[: len(domains)]]
        self.peers = [f"127.0.0.1:{port}" for port in ports[len(domains) :]]

    async def start(self, **limits) -> "Deployment":
        """Start everything, publish the configuration and wait until all is ready."""
        start = self.processes.standin
        self.log = await start("log", "--port", "0")
        self.engine = await start("engine", "--port", "0", "--time-scale", "0.02")
        self.service = await start("service", "--port", "0")
        for index in range(len(self.domains)):
            self.daemons.append(await self.start_daemon(index))
        for daemon in self.daemons:
            await self.processes.wait_ready(daemon, "/health")
        answer = await self.publish(self.configuration(limits))
        assert answer.status == 200, answer.data
        for daemon in self.daemons:
            await self.processes.wait_ready(daemon)
        return self

    async def start_daemon(self, index: int) -> RunningProcess:
        """Start one daemon, also in place of one that has ended."""
        folder = self.processes.folder / f"daemon-{index}-{len(self.processes.all)}"
        folder.mkdir()
        settings = {
            "name": f"d{index}",
            "domain": self.domains[index],
            "http_address": self.http[index],
            "peer_address": self.peers[index],
            "log_url": self.log.url,
            "seeds": [one for one in self.peers if one != self.peers[index]],
            "operator_keys": [OPERATOR_KEY],
            "peer_keys": [PEER_KEY],
            **self.more_settings(),
        }
        (folder / "daemon.yaml").write_text(yaml.safe_dump(settings))
        return await self.processes.daemon(pathlib.Path(folder), self.http[index])

    def more_settings(self) -> dict:
        """Return settings of the daemons beyond the usual ones."""
        return {}

    def configuration(self, limits: dict) -> str:
        endpoint = {"service": "llm", "domain": "a", "url": self.engine.url}
        desk = {"service": "desk", "domain": "a", "url": self.service.url}
        return yaml.safe_dump(
            {
                "deployment": "test",
                "domains": sorted(set(self.domains)),
                "services": {"llm": {"kind": "engine"}, "desk": {"kind": "plain"}},
                "models": {"m": {"service": "llm"}},
                "endpoints": {"e1": endpoint, "desk1": desk},
                "limits": limits,
            }
        )

    async def publish(self, text: str, replaces: str = "", daemon: int = 0) -> Answer:
        """Publish one file as the whole configuration."""
        body = {
            "id": uuid.uuid4().hex,
            "author": "test",
            "replaces": replaces,
            "files": {"10-all.yaml": text},
        }
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        return await self.call("POST", "/operator/config", body, headers, daemon)

    async def call(
        self, method: str, path: str, body=None, headers=None, daemon: int = 0
    ) -> Answer:
        """Send one request to one daemon and return its answer."""
        data = None if body is None else json.dumps(body).encode()
        url = f"http://{self.http[daemon]}{path}"
        session = self.processes.session
        async with session.request(
            method, url, data=data, headers=headers or {}, timeout=_CALL_SECONDS
        ) as answer:
            return Answer(answer.status, dict(answer.headers), await answer.read())

    async def create(self, daemon: int = 0, **body) -> Program:
        """Create a program at one daemon."""
        answer = await self.call("POST", "/v1/programs", body, daemon=daemon)
        assert answer.status == 200, answer.data
        return Program(answer.body["program"], answer.body["secret"])

    async def try_turn(self, program: Program, daemon: int = 0, **body) -> Answer:
        """Send a program's next turn once; its state moves on if it is served."""
        question = f"question {program.turn} of {program.id}"
        asked = [*program.messages, {"role": "user", "content": question}]
        answer = await self.call(
            "POST",
            "/v1/chat/completions",
            {"model": "m", "messages": asked, "max_tokens": 8, **body},
            {**program.headers, "Eelgrass-Turn": str(program.turn)},
            daemon,
        )
        if answer.status == 200:
            program.messages = [*asked, answer.body["choices"][0]["message"]]
            program.turn += 1
        return answer

    async def turn(self, program: Program, daemon: int = 0) -> Answer:
        """Send a program's next turn until it is served."""
        last = None

        async def served() -> bool:
            nonlocal last
            try:
                last = await self.try_turn(program, daemon)
            except aiohttp.ClientConnectionError:
                return False
            assert last.status in (200, 409, 503), last.data
            return last.status == 200

        await eventually(served)
        return last

    async def resume(self, program: Program, daemon: int = 0) -> Answer:
        """Ask for a program's history, again for as long as it is told to."""
        path = f"/v1/programs/{program.id}/resume"
        last = None

        async def answered() -> bool:
            nonlocal last
            last = await self.call("GET", path, None, program.headers, daemon)
            if last.status == 503:
                assert last.error["ran"] == "no"
                assert last.headers["Retry-After"]
            return last.status != 503

        await eventually(answered)
        return last

    async def post_fee(self, key: str, daemon: int = 0, amount: int = 5) -> Answer:
        """Send one non-idempotent request."""
        headers = {"Idempotency-Key": key}
        path = "/services/desk/fees"
        return await self.call("POST", path, {"amount": amount}, headers, daemon)

    async def postings(self) -> int:
        """Return how often the service has acted."""
        return len((await self.processes.get(self.service, "/postings"))["postings"])

    async def freeze(self, daemon: int) -> None:
        """Stop a daemon where it is."""
        self.daemons[daemon].signal(signal.SIGSTOP)

    async def thaw(self, daemon: int) -> None:
        """Let a stopped daemon go on."""
        self.daemons[daemon].signal(signal.SIGCONT)
