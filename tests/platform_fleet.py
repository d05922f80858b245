"""Daemons, endpoints and the platform's store in the process of the test."""

import asyncio
import contextlib
import json
import random
import time

import capnp
from aiohttp.test_utils import TestServer

from eelgrasslock.clock import SystemClock
from eelgrasslock.gateway.application import GatewayApplication
from eelgrasslock.gateway.platform_adapters import PlatformAdapters
from eelgrasslock.gateway.settings import GatewaySettings
from eelgrasslock.http.messages import OutgoingRequest
from eelgrasslock.http.pool import ConnectionPool
from eelgrasslock.platform.headers import PlatformMessageCodec
from eelgrasslock.platform.record_decoder import PlatformRecordDecoder
from eelgrasslock.platform.store_client import PlatformStoreClient
from eelgrasslock_standins.platform_engine import PlatformEngineStandin
from eelgrasslock_standins.platform_store import PlatformStoreStandin
from eelgrasslock_standins.raw_server import RawServer
from hold_ups import running_seconds
from processes import free_ports

HOST = "fleet.example"
TURNS = "/turns/"
LOOKUPS = "/lookups/"
POSTS = "/posts/"
MAX_TURN_TOKENS = 220
SLOTS = 4


def free_port() -> int:
    return free_ports(1)[0]


async def wait_until(condition, seconds=5.0):
    """Wait until a condition is true, for a time in which the process runs."""
    began_at = time.monotonic()
    while not condition():
        if running_seconds(began_at) > seconds:
            raise TimeoutError("The condition did not become true.")
        await asyncio.sleep(0.01)


def route(name, prefix, kind, service, **more):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 4_000,
        "targetLatencyMs": 250,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        **more,
    }


def configuration(version=1, routes=None, **more):
    if routes is None:
        routes = [
            route(
                "turns",
                TURNS,
                "streaming",
                "models",
                maxAttempts=1,
                retainsContext=False,
                retentionS=60.0,
                resumable=True,
                gapAimMs=400,
            ),
            route("lookups", LOOKUPS, "safe", "desk"),
            route("posts", POSTS, "unsafe", "desk", maxAttempts=1),
        ]
    services = [
        {
            "name": "models",
            "healthPath": "/healthz",
            "maxConns": 100,
            "engine": {"slots": 4, "kvCapacityTokens": 90_000, "tokensPerEvent": 22},
        },
        {"name": "desk", "healthPath": "/healthz", "maxConns": 100},
    ]
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 100_000,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
        **more.pop("limits", {}),
    }
    document = {"version": version, "routes": routes, "services": services}
    return {**document, "limits": limits, **more}


class Daemon:
    """A running daemon and the faults of its connection to the store."""

    def __init__(self, application, door, front_address, ready_address):
        self.application = application
        self.faults = door.faults
        self.front_address = front_address
        self.ready_address = ready_address


class PlatformFleet:
    """Starts daemons and stand-ins, and stops them at the end of the context."""

    def __init__(self):
        self.store = PlatformStoreStandin()
        self.stack = contextlib.AsyncExitStack()
        self.pool = ConnectionPool(SystemClock())
        self.ids = iter(range(1, 1_000_000))
        self.daemons = []

    async def __aenter__(self):
        await self.stack.enter_async_context(capnp.kj_loop())
        await self.pool.start()
        self.stack.push_async_callback(self.pool.stop)
        self.configure()
        return self

    async def __aexit__(self, *details):
        await self.stack.aclose()

    def configure(self, **more):
        self.configure_raw(json.dumps(configuration(**more)).encode())

    def configure_raw(self, value):
        self.store.put("keyed.op", "config", value)

    async def endpoint(self, service="desk", id=None, entry=None, **shape):
        """Start an endpoint; `entry` holds fields of its registration."""
        number = next(self.ids)
        standin = PlatformEngineStandin(id=id or f"i-{number}", **shape)
        await standin.start()
        self.stack.push_async_callback(standin.stop)
        self.register(standin, service, **(entry or {}))
        return standin

    async def raw_endpoint(self, answer, service="desk"):
        """Register an endpoint that answers with given bytes."""
        standin = RawServer(answer=answer, id=f"i-{next(self.ids)}")
        await standin.start()
        self.stack.push_async_callback(standin.stop)
        self.register(standin, service)
        return standin

    def register(self, standin, service="desk", **more):
        entry = {
            "service": service,
            "address": standin.address,
            "zone": "a",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "coldLeftMs": 0,
            "born": 1,
            **more,
        }
        self.store.put("keyed.servers", standin.id, json.dumps(entry).encode())

    def unregister(self, standin):
        self.store.put("keyed.servers", standin.id, b"")

    async def daemon(self, name="a-1", **more):
        door = self.store.door()
        server = TestServer(door.application())
        await server.start_server(shutdown_timeout=0.05)
        self.stack.push_async_callback(server.close)
        front, ready = free_port(), free_port()
        settings = GatewaySettings(
            name=name,
            front_address=f"127.0.0.1:{front}",
            ready_address=f"127.0.0.1:{ready}",
            peer_address=f"127.0.0.1:{free_port()}",
            store_address=f"127.0.0.1:{server.port}",
            store_partitions=4,
            store_retention_seconds=300.0,
            **{"domain": "a", "drain_seconds": 8.0, **more},
        )
        clock = SystemClock()
        pool = ConnectionPool(clock)
        store = PlatformStoreClient(settings.store_address, 4, pool)
        platform = PlatformAdapters(
            log=store,
            record_decoder=PlatformRecordDecoder(),
            codec=PlatformMessageCodec(),
        )
        application = GatewayApplication(
            settings, platform, pool, clock, random.Random(1)
        )
        await application.start()
        self.stack.push_async_callback(application.stop)
        daemon = Daemon(
            application, door, settings.front_address, settings.ready_address
        )
        self.daemons.append(daemon)
        return daemon

    async def ready_daemon(self, endpoints, **more):
        """Return a daemon that has received the configuration and the endpoints."""
        daemon = await self.daemon(**more)
        endpoint_registry = daemon.application.endpoint_registry
        await wait_until(
            lambda: all(one.id in endpoint_registry.entries for one in endpoints)
        )
        await wait_until(lambda: daemon.application.routing.current is not None)
        return daemon

    async def call(self, daemon, path, method="GET", body=b"", **headers):
        """Send a request on a new connection; return status, head and body."""
        connection = await self.connect(daemon)
        try:
            return await self.send(connection, path, method, body, **headers)
        finally:
            connection.close()

    async def connect(self, daemon):
        return await self.pool.acquire(daemon.front_address)

    async def send(self, connection, path, method="GET", body=b"", **headers):
        head = await connection.send(self.request(path, method, body, **headers))
        return head.status, head, await connection.read_all()

    def request(self, path, method="GET", body=b"", **headers):
        names = {name.replace("_", "-"): str(one) for name, one in headers.items()}
        names = {
            "Host": HOST,
            "Request-Id": f"r{next(self.ids)}",
            "Deadline-Ms": "3000",
            **names,
        }
        return OutgoingRequest(
            method=method, target=path, headers=tuple(names.items()), body=body
        )

    def make_known(self, daemon, id, service="models", version="v1"):
        """Let a daemon know the version at which a stream began."""
        controller = daemon.application.shared.streams
        controller.begin(id, service, version, 10.0, True)

    async def turn(
        self,
        daemon,
        program,
        budget=10 * MAX_TURN_TOKENS,
        max_tokens=MAX_TURN_TOKENS,
        **headers,
    ):
        """Run a turn of a program; return status and body."""
        values = {
            "Program_Id": program,
            "Session_Id": "s",
            "Token_Budget": budget,
            "Token_Usage": f"100,{max_tokens}",
            "Prompt_Prefix": "5c1e:90,91bd:10",
            **headers,
        }
        status, _, body = await self.call(
            daemon, f"{TURNS}x", "POST", b"prompt", **values
        )
        return status, body
