"""A small deployment: the project's daemons as processes before stand-ins."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

from aiohttp import web
from review_kit.engine import TOKENS_PER_EVENT, Engine
from review_kit.template import render

from eelgrasslock_standins.platform_store import PlatformStoreStandin, Refusing

# The scripts change to the root of the repository.
ROOT = pathlib.Path.cwd()
HOST = "desk.example"
HEARTBEAT_SECONDS = 1.2
READY_SECONDS = 25.0
GRACE_SECONDS = 8
_RANDOM = random.SystemRandom()

BOUNDS = {
    "stableWindowMs": 3_000,
    "drainMs": 2_000,
    "graceS": GRACE_SECONDS,
    "configApplyMs": 2_000,
}


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration; its path is its name."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 3_000,
        "targetLatencyMs": 250,
        "priority": 0,
        "maxAttempts": 1,
        **more,
    }


def turn_route(**more: Any) -> dict[str, Any]:
    """Return a route of turns, as the two sites have it."""
    return route(
        "turns",
        "streaming",
        "models",
        retainsContext=False,
        retentionS=60,
        resumable=True,
        gapAimMs=300,
        sticky=True,
        **more,
    )


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    engine = {
        "slots": 12,
        "kvCapacityTokens": 528_700,
        "tokensPerEvent": TOKENS_PER_EVENT,
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "models",
                "healthPath": "/healthz",
                "maxConns": 150,
                "engine": engine,
            },
            {"name": "desk", "healthPath": "/healthz", "maxConns": 100},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


class Daemon:
    """One machine with the project's daemon."""

    def __init__(self, fleet: "Fleet", number: int, zone: str) -> None:
        self.fleet = fleet
        self.zone = zone
        self.name = f"edge-{zone}-{number}"
        self.ip = fleet.ip(number)
        ports = [_free_port(self.ip) for _ in range(3)]
        self.front, self.ready, self.peer = (f"{self.ip}:{port}" for port in ports)
        self.peer_port = ports[2]
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.door = fleet.store.door()
        self.store_address = ""

    async def open_door(self) -> None:
        """Serve this machine's way to the store."""
        runner = web.AppRunner(
            self.door.application(), access_log=None, shutdown_timeout=0.05
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        self.store_address = f"{host}:{port}"
        self.fleet.stack.push_async_callback(runner.cleanup)

    def start(self, bootstrap: bool) -> None:
        """Start the daemon with the command of the deploy file."""
        self.starts += 1
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "internalPorts": [self.peer_port, self.peer_port],
            "listen": {"front": self.front, "readyAddr": self.ready},
            "platform": {
                "address": self.store_address,
                "parts": 12,
                "retentionS": 300,
            },
            "bounds": BOUNDS,
            "bootstrap": bootstrap,
        }
        template = (ROOT / "deploy/node.yaml").read_text()
        settings = self.fleet.folder / f"{self.name}-{self.starts}.yaml"
        settings.write_text(render(template, fields))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        with (self.fleet.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "eelgrasslock.daemon"],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                env={
                    **environment,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "EELGRASSLOCK_SETTINGS": str(settings),
                },
            )
        self.fleet.note("starts", daemon=self.name, bootstrap=bootstrap)

    async def is_ready(self) -> bool:
        """Ask as the platform's balancer does."""
        host, _, port = self.ready.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b"GET /eelgrasslock/readyz HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: close\r\n\r\n"
                )
                return b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def wait_ready(self) -> None:
        """Wait until it takes requests."""
        try:
            async with asyncio.timeout(READY_SECONDS):
                while not await self.is_ready():  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
        except TimeoutError as error:
            raise CannotRun(f"{self.name} does not get ready: {self.tail()}") from error

    def signal(self, number: signal.Signals) -> None:
        """Send its process a signal."""
        assert self.process is not None
        self.fleet.note(number.name, daemon=self.name)
        self.process.send_signal(number)

    async def wait_end(self, seconds: float = GRACE_SECONDS) -> None:
        """Wait for its end; it is killed after some seconds."""
        assert self.process is not None
        ends_at = time.monotonic() + seconds
        while (  # noqa: ASYNC110
            self.process.poll() is None and time.monotonic() < ends_at
        ):
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()
        self.fleet.note("ended", daemon=self.name, status=self.process.returncode)

    def kill(self) -> None:
        """End its process, whatever state it is in."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def tail(self) -> str:
        """Return the end of what it logged."""
        return (self.fleet.folder / f"{self.name}.log").read_text()[-2_000:]


class CannotRun(Exception):
    """The case could not be played."""


class Fleet:
    """Daemons, engines and the store; leaving the context ends them all.

    Parameters
    ----------
    record : pathlib.Path
        Where what was sent, answered and run is written.
    """

    def __init__(self, record: pathlib.Path) -> None:
        self.started_at = time.monotonic()
        self.record = record.open("w")
        self.store = PlatformStoreStandin()
        self.stack = contextlib.AsyncExitStack()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="eelgrasslock-review-"))
        self.daemons: list[Daemon] = []
        self.engines: list[Engine] = []
        self.is_store_down = False
        self._net = f"127.{_RANDOM.randrange(16, 250)}.{_RANDOM.randrange(1, 250)}"
        self._services: dict[str, tuple[str, str]] = {}
        self._beats: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Fleet":
        """Start the heartbeats of the engines."""
        self._beats = asyncio.create_task(self._beat())
        return self

    async def __aexit__(self, *details: object) -> None:
        """End all processes and stand-ins."""
        for daemon in self.daemons:
            daemon.kill()
        if self._beats is not None:
            self._beats.cancel()
        for engine in self.engines:
            await engine.stop()
        await self.stack.aclose()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def ip(self, number: int) -> str:
        """Return a loopback address for a machine."""
        return f"{self._net}.{number}"

    def note(self, what: str, **details: object) -> None:
        """Write a line to the record."""
        seconds = time.monotonic() - self.started_at
        shown = " ".join(f"{name}={value}" for name, value in details.items())
        self.record.write(f"{seconds:9.3f} {what} {shown}\n")
        self.record.flush()

    def configure(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write a configuration as the operator does."""
        document = json.dumps(configuration(version, routes)).encode()
        self.store.put("keyed.op", "config", document)
        self.note("configuration", version=version)

    async def engine(self, service: str, zone: str, **shape: Any) -> Engine:
        """Start an engine and register it."""
        engine = Engine(f"i-{len(self.engines):x}{zone}", self.note, **shape)
        await engine.start()
        self.engines.append(engine)
        self._services[engine.id] = (service, zone)
        self.register(engine)
        return engine

    def register(self, engine: Engine, state: str = "ready") -> None:
        """Write an engine's entry."""
        service, zone = self._services[engine.id]
        entry = {
            "service": service,
            "address": engine.address,
            "zone": zone,
            "version": "v1",
            "slots": engine.slot_count,
            "state": state,
            "coldLeftMs": 0,
            "callSeq": int(time.monotonic()),
            "born": engine.born,
        }
        self.store.put("keyed.servers", engine.id, json.dumps(entry).encode())

    async def crash(self, engine: Engine) -> None:
        """End an engine without a word; its entry stays until it expires."""
        del self._services[engine.id]
        await engine.stop()

    def expire(self, engine: Engine) -> None:
        """Remove the entry of an engine that has been silent for long enough."""
        self.store.put("keyed.servers", engine.id, b"")

    async def daemon(self, zone: str) -> Daemon:
        """Add a machine; its daemon is not started yet."""
        daemon = Daemon(self, len(self.daemons) + 1, zone)
        await daemon.open_door()
        self.daemons.append(daemon)
        return daemon

    async def start_all(self) -> None:
        """Start the whole system for the first time, and wait until it is ready."""
        for daemon in self.daemons:
            daemon.start(bootstrap=True)
        await asyncio.gather(*(one.wait_ready() for one in self.daemons))
        self.note("all daemons are ready")

    def set_store(self, refusing: Refusing) -> None:
        """Let the store be down for all machines and engines, or up again."""
        self.is_store_down = refusing is not Refusing.NOT
        for daemon in self.daemons:
            daemon.door.faults.refusing = refusing.value
        self.note("store is down" if self.is_store_down else "store is up")

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for engine in self.engines:
                if not self.is_store_down and engine.id in self._services:
                    self.register(engine)


def has_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(play: Any, folder: pathlib.Path, seconds: float = 115.0) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if not, 2 if it can't run."""

    async def main() -> bool:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with Fleet(folder / "record.txt") as fleet:
            fleet.note("trouble" if has_trouble() else "no trouble")
            async with asyncio.timeout(seconds):
                return await play(fleet)

    try:
        broken = asyncio.run(main())
    except (CannotRun, OSError, TimeoutError, asyncio.CancelledError) as error:
        print(f"The case could not run: {error!r}")
        sys.exit(2)
    print("The rule was broken." if broken else "The rule held.")
    sys.exit(1 if broken else 0)


def _free_port(ip: str) -> int:
    with socket.socket() as one:
        one.bind((ip, 0))
        return one.getsockname()[1]
