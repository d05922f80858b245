"""A small deployment on loopback: daemons as processes, and the platform's store.

Daemons are started with the command and the template of the deploy file. Servers
register in the store through this module, as the platform's servers do themselves.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time

from aiohttp import web

from eelgrasslock_standins.platform_store import PlatformStoreStandin

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVERS_TOPIC = "keyed.servers"
CONFIGURATION_TOPIC = "keyed.op"
CALLER_HOST = "fleet.example"
LOOKUPS = "/lookups/"
POSTS = "/posts/"
TURNS = "/turns/"
EVENT_TOKENS = 22
TIMEOUT_MILLISECONDS = 4_000
GRACE_SECONDS = 8
READY_SECONDS = 25.0
STABLE_SECONDS = 3.0
_PORTS = range(20_000, 32_000)
_TAKEN_PORTS = set()
_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


class CannotRun(Exception):
    """The case can't be played here."""


def free_ports(count):
    """Return ports that nothing listens on, outside of those given to connections.

    None is returned twice, as what shall listen there may not have begun to.
    """
    ports = []
    while len(ports) < count:
        port = random.choice(_PORTS)
        if port in _TAKEN_PORTS:
            continue
        with contextlib.suppress(OSError), socket.socket() as one:
            one.bind((HOST, port))
            _TAKEN_PORTS.add(port)
            ports.append(port)
    return ports


def render(text, fields):
    """Fill in a template as the platform does, as far as the deploy file needs it."""

    def find(path, current):
        if path == ".":
            return current
        value = fields
        for name in path.split("."):
            value = value[int(name)] if isinstance(value, list) else value.get(name)
            if value is None:
                return None
        return value

    def section(match):
        kind, path, inner = match.groups()
        value = find(path, None)
        is_shown = (kind == "#") == (value not in (None, False))
        return values(inner.replace("{{.}}", json.dumps(value))) if is_shown else ""

    def one(match):
        value = find(match[1], None)
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    def values(part):
        return _VALUE.sub(one, part)

    return values(_SECTION.sub(section, text))


def configuration(version=1):
    """Return a configuration: two routes to a plain service, and one for turns."""
    common = {
        "host": CALLER_HOST,
        "timeoutMs": TIMEOUT_MILLISECONDS,
        "targetLatencyMs": 500,
        "priority": 0,
        "service": "desk",
        "maxAttempts": 1,
    }
    return {
        "version": version,
        "routes": [
            {**common, "name": "lookups", "pathPrefix": LOOKUPS, "kind": "safe"},
            {**common, "name": "posts", "pathPrefix": POSTS, "kind": "unsafe"},
            {
                **common,
                "name": "turns",
                "pathPrefix": TURNS,
                "kind": "streaming",
                "service": "models",
                "retainsContext": False,
                "retentionS": 60.0,
                "gapAimMs": 400,
                "sticky": True,
            },
        ],
        "services": [
            {"name": "desk", "healthPath": "/healthz", "maxConns": 400},
            {
                "name": "models",
                "healthPath": "/healthz",
                "maxConns": 150,
                "engine": {
                    "slots": 12,
                    "kvCapacityTokens": 90_000,
                    "tokensPerEvent": EVENT_TOKENS,
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


class Daemon:
    """A daemon as a process.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    name, zone : str
        The machine's name and its zone.
    memory_megabytes : int
        The machine's memory.
    """

    def __init__(self, deployment, name, zone, memory_megabytes):
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.memory_megabytes = memory_megabytes
        self.ports = free_ports(5)
        self.front_port, self.ready_port = self.ports[:2]
        self.process = None
        self.starts = 0

    def fields(self, is_first):
        """Return the fields of the platform's settings that the template names."""
        front, ready, control, internal, metrics = self.ports
        return {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": HOST,
            "internalPorts": [internal, internal],
            "bootstrap": is_first,
            "listen": {
                "front": f"{HOST}:{front}",
                "readyAddr": f"{HOST}:{ready}",
                "control": f"{HOST}:{control}",
            },
            "limits": {"memoryMb": self.memory_megabytes, "maxFds": 8_200},
            "bounds": {
                "drainMs": 2_000,
                "graceS": GRACE_SECONDS,
                "configApplyMs": 2_000,
                "stableWindowMs": int(1_000 * STABLE_SECONDS),
            },
            "platform": {
                "address": self.deployment.store_address,
                "parts": 12,
                "retentionS": 300,
            },
            "metricsPort": metrics,
        }

    async def start(self, is_first=False):
        """Start the process as the deploy file says."""
        self.starts += 1
        template = (ROOT / "deploy" / "node.yaml").read_text()
        # All machines share one address here, so that the metrics' port differs.
        template = template.replace(":9464", ":{{metricsPort}}")
        settings = self.deployment.folder / f"{self.name}-{self.starts}.yaml"
        settings.write_text(render(template, self.fields(is_first)))
        with (self.deployment.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "eelgrasslock.daemon",
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": "target/deps",
                    "EELGRASSLOCK_SETTINGS": str(settings),
                },
            )

    async def is_ready(self):
        """Return whether it answers the platform's question with 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self.ready_port)
                writer.write(b"GET /eelgrasslock/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self):
        """Wait until it takes requests.

        Raises
        ------
        CannotRun
            If it does not.
        """
        try:
            async with asyncio.timeout(READY_SECONDS):
                while not await self.is_ready():
                    if self.process.returncode is not None:
                        raise CannotRun(f"{self.name} ended at its start.")
                    await asyncio.sleep(0.05)
        except TimeoutError as error:
            raise CannotRun(f"{self.name} does not get ready.") from error

    def send(self, number):
        """Send it a signal if it still runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def terminate(self):
        """Stop it as the platform does, by SIGTERM and, after the grace, SIGKILL."""
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_SECONDS)
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()

    def resident_megabytes(self):
        """Return the memory that the process has now, 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"^VmRSS:\s+(\d+)", text, re.MULTILINE)
        return int(found[1]) * 1_024 / 1_000_000 if found else 0.0


class Deployment:
    """Daemons, servers, the store, and a record of what happened.

    Parameters
    ----------
    folder : pathlib.Path
        Where settings and logs go.

    Attributes
    ----------
    store_middlewares : list of callable
        What disturbs the calls to the store; set before it starts.
    """

    def __init__(self, folder):
        self.folder = folder
        self.store = PlatformStoreStandin()
        self.daemons = []
        self.lines = []
        self.store_middlewares = []
        self.began_at = time.monotonic()
        self._runner = None

    def note(self, text):
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.began_at:9.3f} s  {text}")

    async def start_store(self):
        """Start the store, and write the first configuration."""
        app = self.store.door().application()
        for one in self.store_middlewares:
            app.middlewares.insert(0, one)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        (port,) = free_ports(1)
        await web.TCPSite(self._runner, HOST, port).start()
        self.store_address = f"{HOST}:{port}"
        value = json.dumps(configuration()).encode()
        self.store.put(CONFIGURATION_TOPIC, "config", value)

    def add_daemon(self, name, zone, memory_megabytes=160):
        """Add a machine with a daemon that is not started yet."""
        daemon = Daemon(self, name, zone, memory_megabytes)
        self.daemons.append(daemon)
        return daemon

    async def start_daemons(self):
        """Start all daemons for the first time, and let the deployment calm down."""
        for one in self.daemons:
            await one.start(is_first=True)
        for one in self.daemons:
            await one.wait_ready()
        await asyncio.sleep(STABLE_SECONDS)

    def register(self, id, address, zone, slots, service="desk"):
        """Write the entry of a server that has just started."""
        entry = {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "coldLeftMs": 0,
            "callSeq": 0,
            "born": int(1_000 * time.time()),
        }
        self.store.put(SERVERS_TOPIC, id, json.dumps(entry).encode())

    async def stop(self):
        """End all processes that are left."""
        for one in self.daemons:
            one.send(signal.SIGKILL)
            if one.process is not None:
                await one.process.wait()
        if self._runner is not None:
            with contextlib.suppress(Exception):
                await self._runner.cleanup()


def write_record(folder, lines):
    """Write the record of a case into its folder."""
    (folder / "record.txt").write_text("\n".join(lines) + "\n")


def run_case(folder, play, prepare=None, seconds=110.0):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, else 2.

    Parameters
    ----------
    folder : pathlib.Path
        The folder of the case, for its record.
    play : callable
        Plays the case in a deployment, and returns what broke the rule.
    prepare : callable or None
        Called with the deployment before its store starts.
    seconds : float
        The longest time that it may take.
    """
    sys.exit(asyncio.run(_run(folder, play, prepare, seconds)))


async def _run(folder, play, prepare, seconds):
    with tempfile.TemporaryDirectory() as temporary:
        deployment = Deployment(pathlib.Path(temporary))
        status = 2
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(seconds):
                if prepare is not None:
                    prepare(deployment)
                await deployment.start_store()
                broken = await play(deployment)
                for line in broken:
                    deployment.note(f"BROKEN: {line}")
                status = 1 if broken else 0
        except CannotRun as error:
            deployment.note(f"The case can't be played: {error}")
        except (Exception, asyncio.CancelledError) as error:
            deployment.note(f"The case could not be played: {error!r}")
        finally:
            await deployment.stop()
            deployment.note(f"Ends with {status}.")
            write_record(folder, deployment.lines)
    print("\n".join(deployment.lines[-12:]))
    return status
