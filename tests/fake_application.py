"""An application with a configuration and little else, served on loopback."""

import asyncio
import contextlib
import threading
from types import SimpleNamespace

from aiohttp import web

from configuration_daemon import Daemon
from eelgrasslock.exceptions import Refusal
from eelgrasslock.log.records import MemberJoined
from eelgrasslock.operators.operator_api import OperatorAPI
from eelgrasslock.scheduling.quarantine import Quarantine
from fake_config import FakeStream

KEYS = ["new-operator-key-1", "old-operator-key-1"]
HOME = "a~a-1-x~0f"
ABROAD = "b~b-1-x~0f"


def member(name, domain):
    return MemberJoined(
        author=f"{name}-x",
        time=1_000.0,
        incarnation=f"{name}-x",
        name=name,
        domain=domain,
        peer_address="127.0.0.1:1",
        http_address="127.0.0.1:2",
    )


class FakeTable:
    def live(self, domain=None):
        members = [member("b-1", "b"), member("a-1", "a")]
        return [one for one in members if domain in (None, one.domain)]


class FakePrograms:
    def __init__(self):
        program = SimpleNamespace(
            id=HOME,
            holder="a-1-x",
            turn=2,
            spent=SimpleNamespace(tokens=70),
            limits=SimpleNamespace(tokens=100),
            created=1_000.0,
            active=1_001.0,
            ended="",
            parent="",
        )
        self.journal = SimpleNamespace(programs={HOME: program})

    def explain(self, program):
        if program != HOME:
            raise Refusal("unknown_program", "No such program.", 404)
        turn = {"turn": 0, "endpoint": "one", "tokens": 70, "reason": "cached"}
        return {"program": program, "turns": [turn], "refusals": ["late: No."]}


class FakeActions:
    def __init__(self):
        self.resolved = []

    def unresolved(self):
        action = SimpleNamespace(
            service="app", action="fee-1", program=HOME, author="a-1-x", time=1_000.0
        )
        return [] if self.resolved else [action]

    async def resolve(self, service, action, result, operator):
        if action != "fee-1":
            raise Refusal("unknown_action", "No such action.", 404)
        self.resolved.append((service, action, result.value, operator))


class FakeScheduler:
    def __init__(self, configuration):
        self.configuration = configuration
        self.quarantine = Quarantine()
        self.quarantine.record_crash(["d7"], 1.0)
        self.quarantine.update_peer("b-1-x", ("d7", "d8"))

    def release_digest(self, digest):
        self.quarantine.release(digest)

    def endpoints(self):
        return [
            SimpleNamespace(
                endpoint=name,
                service=settings.service,
                domain=settings.domain,
                in_flight=1,
                load=2,
                breaker="closed",
                leaving=("operator",) if settings.leaving else (),
                parked_seconds=0.0,
            )
            for name, settings in self.configuration.current.endpoints.items()
        ]


def fake_application(keys=()):
    daemon = Daemon(FakeStream())
    daemon.settings = SimpleNamespace(operator_keys=list(keys), domain="a")
    daemon.incarnation = "a-1-x"
    daemon.membership = SimpleNamespace(table=FakeTable(), suspects=lambda: {"b-1-x"})
    daemon.scheduler = FakeScheduler(daemon.configuration)
    daemon.programs = FakePrograms()
    daemon.actions = FakeActions()
    daemon.draining = False
    return daemon


@contextlib.contextmanager
def served(application):
    """Serve the operators' interface from a thread; yields the URL."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    runner = asyncio.run_coroutine_threadsafe(_start(application), loop).result(10)
    host, port = runner.addresses[0]
    try:
        yield f"http://{host}:{port}"
    finally:
        asyncio.run_coroutine_threadsafe(runner.cleanup(), loop).result(10)
        loop.call_soon_threadsafe(loop.stop)
        thread.join(10)
        loop.close()


async def _start(application):
    app = web.Application(client_max_size=200_000)
    app.add_routes(OperatorAPI(application).routes())
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return runner
