"""Daemons of three domains that keep turns, and a client that knows its chains."""

import json

from attrs import define

from eelgrasslock.http.errors import ConnectionBroken
from platform_fleet import configuration, route, wait_until

TALKS = "/talks/"
RETENTION_SECONDS = 60.0
MODELS = "models"


def talk_route(**more):
    values = {
        "maxAttempts": 1,
        "retainsContext": True,
        "retentionS": RETENTION_SECONDS,
        "resumable": False,
        "sticky": True,
        "gapAimMs": 300,
        **more,
    }
    return route("talks", TALKS, "streaming", MODELS, **values)


def talk_configuration(routes=None, **more):
    return configuration(routes=routes or [talk_route()], **more)


@define(eq=False)
class Said:
    """A turn as its client knows it.

    Attributes
    ----------
    id : str
        The id of its last request.
    status : int
        The status of the answer, 0 for none.
    is_whole : bool
        Whether the answer came to its end.
    received : bytes
        The body of the answer, as far as it came.
    conversation : bytes
        What the engine of the next turn must receive before its input.
    """

    id: str
    status: int = 0
    is_whole: bool = False
    received: bytes = b""
    conversation: bytes = b""

    def retry_after(self, head):
        values = {name.lower(): value for name, value in head.headers}
        return float(values["retry-after"])


def data_of(stream):
    """Return the data of a stream's events, each with a line feed."""
    found = b""
    for event in stream.replace(b"\r\n", b"\n").split(b"\n\n"):
        lines = [line for line in event.split(b"\n") if line.startswith(b"data:")]
        if lines:
            values = [one.removeprefix(b"data:").removeprefix(b" ") for one in lines]
            found += b"\n".join(values) + b"\n"
    return found


class ConversationFleet:
    """Starts daemons and engines, and says turns.

    Parameters
    ----------
    fleet : PlatformFleet
        The fleet that it extends.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.engines = []
        self.daemons = []

    async def start(self, daemons=3, engines=2, routes=None, **shape):
        self.fleet.configure_raw(self.encoded(routes))
        for _ in range(engines):
            await self.add_engine(**{"events": 3, **shape})
        for _ in range(daemons):
            await self.add_daemon()
        await self.meet()
        return self

    def encoded(self, routes=None, **more):
        limits = {"maxBodyBytes": 4_000_000}
        document = talk_configuration(routes, limits=limits, **more)
        return json.dumps(document).encode()

    async def add_engine(self, **shape):
        """Start an engine, and wait until all daemons know it."""
        engine = await self.fleet.endpoint(MODELS, **shape)
        self.engines.append(engine)
        for daemon in self.daemons:
            registry = daemon.application.endpoint_registry
            await wait_until(lambda one=registry: engine.id in one.entries)

    async def add_daemon(self):
        number = len(self.daemons)
        domain = "abc"[number % 3]
        name = f"{domain}-{number}"
        self.daemons.append(
            await self.fleet.ready_daemon(
                self.engines, name=name, domain=domain, is_first_start=True
            )
        )
        return self.daemons[-1]

    async def meet(self):
        """Wait until all daemons know each other, and what was drawn before."""
        transfers = [one.application.draw_keepers.transfer for one in self.daemons]
        await wait_until(lambda: all(one.is_informed for one in transfers))
        count = len(self.daemons) - 1
        for daemon in self.daemons:
            exchange = daemon.application.load_exchange
            await wait_until(lambda one=exchange: len(one.live_peers) >= count)

    async def kill(self, daemon):
        """End a daemon without a word."""
        self.daemons.remove(daemon)
        await daemon.application.stop()

    async def say(self, daemon, text, previous=None, **headers):
        """Say a turn that continues from another one."""
        if previous is not None:
            headers["Previous_Turn"] = previous.id
        headers = {"Token_Usage": "100,220", **headers}
        request = self.fleet.request(f"{TALKS}x", "POST", text, **headers)
        said = Said(dict(request.headers)["Request-Id"])
        connection = await self.fleet.connect(daemon)
        try:
            head = await connection.send(request)
            said.status = head.status
            while (chunk := await connection.read()) is not None:
                said.received += chunk
            said.is_whole = head.status == 200
            if head.status in (429, 503):
                assert said.retry_after(head) > 0
        except ConnectionBroken:
            pass
        finally:
            connection.close()
        before = b"" if previous is None else previous.conversation
        said.conversation = before + text + data_of(said.received)
        return said

    def bodies(self):
        """Return the bodies that the engines ran, by request id."""
        return {run.id: run.body for one in self.engines for run in one.runs if run.ran}

    async def say_all(self, texts, previous=None):
        """Say turns one after the other, each at the next daemon."""
        for number, text in enumerate(texts):
            daemon = self.daemons[number % len(self.daemons)]
            before = b"" if previous is None else previous.conversation
            said = await self.say(daemon, text, previous)
            assert said.is_whole, said
            assert self.bodies()[said.id] == before + text
            previous = said
        return previous


def controllers(fleet):
    return [one.application.shared.conversations for one in fleet.daemons]


def forget(fleet):
    """Let no daemon have anything in memory, as after the loss of all."""
    for controller in controllers(fleet):
        controller.cache.drop_unused(float("inf"))
        controller.directory.indexes.clear()


def refuse(fleet, how):
    for daemon in fleet.daemons:
        daemon.faults.refusing = how


def record_calls(daemon, preferred):
    """Take down which endpoint each call of a daemon prefers."""
    dispatcher = daemon.application.dispatcher
    acquire = dispatcher.acquire

    async def record(call):
        preferred.append(call.preferred_endpoint)
        return await acquire(call)

    dispatcher.acquire = record
