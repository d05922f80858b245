"""Daemons' program state over one fake log, for tests."""

import asyncio
import random

import pytest

from eelgrasslock.actions.action_guard import ActionGuard
from eelgrasslock.clock import ManualClock
from eelgrasslock.configuration.settings import (
    LimitSettings,
    MethodSettings,
    ServiceKind,
    ServiceSettings,
)
from eelgrasslock.exceptions import Refusal
from eelgrasslock.log.log_tail import LogTail
from eelgrasslock.log.log_writer import LogWriter
from eelgrasslock.log.records import MemberJoined, MemberRetired, PositionedRecord
from eelgrasslock.programs.controller import ProgramController
from eelgrasslock.programs.journal_records import ProgramLimits
from eelgrasslock.requests.action_filter import ActionFilter
from eelgrasslock.requests.budget_filter import BudgetFilter
from eelgrasslock.requests.exchange import (
    Exchange,
    Request,
    RequestKind,
    chain,
)
from eelgrasslock.requests.turn_filter import TurnFilter
from fake_log import FakeLog
from fleet_fakes import (
    FakeEngine,
    FakeMembership,
    FakePeers,
    FakeResponder,
    LogLink,
)

DOMAIN = "riga-a"
SERVICES = {
    "licence-app": ServiceSettings(
        kind=ServiceKind.PLAIN,
        methods=[MethodSettings(method="GET", path="/status/*", idempotent=True)],
    )
}


class Daemon:
    """The program state of one daemon, with its filters before an engine."""

    def __init__(self, fleet, incarnation, limits):
        self.incarnation = incarnation
        self.dead = False
        self.awake = asyncio.Event()
        self.awake.set()
        clock, rng = fleet.clock, random.Random(incarnation)
        self.log = LogLink(fleet.log, self.awake)
        self.writer = LogWriter(self.log, clock, rng, appends_per_second=1000.0)
        self.tail = LogTail(self.log, clock, rng)
        self.membership = FakeMembership(incarnation)
        self.peers = FakePeers(fleet, self.awake)
        self.actions = ActionGuard(incarnation, self.writer, self.tail, clock, 2)
        self.programs = ProgramController(
            DOMAIN,
            incarnation,
            self.writer,
            self.tail,
            self.membership,
            self.peers,
            clock,
            rng,
            lambda: LimitSettings(program=limits),
            lambda model: 0.0,
            self.actions,
        )
        self.engine = fleet.engine
        filters = [
            TurnFilter(self.programs),
            BudgetFilter(self.programs),
            ActionFilter(self.actions, SERVICES.get, clock),
        ]
        self.serve = chain(filters, self._dispatch)

    async def _dispatch(self, exchange):
        exchange.sent = False
        await self.awake.wait()
        await self.engine(exchange)

    async def start(self):
        await self.tail.start()
        await self.actions.start()
        await self.programs.start()

    async def kill(self):
        """Stop without any farewell."""
        self.dead = True
        self.awake.clear()
        await self.writer.stop()
        await self.tail.stop()
        for _ in range(3):
            self._cancel_tasks()
            for _ in range(10):
                await asyncio.sleep(0)

    def _cancel_tasks(self):
        tasks = {
            *self.programs.local_programs._tasks,
            *self.actions._tasks,
            self.programs._sweeper,
            self.actions._sweeper,
        }
        for task in tasks - {None}:
            task.cancel()


class Fleet:
    """Some daemons of one domain over one log."""

    def __init__(self, limits=None):
        self.clock = ManualClock()
        self.log = FakeLog(self.clock)
        self.engine = FakeEngine()
        self.limits = limits or ProgramLimits(tokens=10_000, turns=50, age=1e6)
        self.daemons = {}
        self.retired = []

    async def add(self, incarnation):
        daemon = Daemon(self, incarnation, self.limits)
        self.daemons[incarnation] = daemon
        for record in self.retired:
            daemon.membership.table.apply(record)
        for one in self.daemons.values():
            for other in self.daemons:
                one.membership.table.apply(joined(other))
        await daemon.start()
        return daemon

    def retire(self, incarnation):
        """Let all daemons but the retired one know."""
        record = MemberRetired(
            author="x", time=0.0, incarnation=incarnation, reason="silent"
        )
        self.retired.append(PositionedRecord(1, 0, record))
        for one in self.daemons.values():
            if one.incarnation != incarnation:
                one.membership.table.apply(self.retired[-1])

    async def stop(self):
        for daemon in self.daemons.values():
            await daemon.kill()

    async def run(self, work, limit=120.0):
        """Return a coroutine's result, moving the clock on meanwhile."""
        task = asyncio.ensure_future(work)
        await self.settle(limit, task)
        assert task.done(), "It still waits."
        return task.result()

    async def settle(self, seconds=1.0, task=None, step=0.05):
        """Let time pass, until a task is done if one is given."""
        end = self.clock.time + seconds
        while self.clock.time < end and not (task and task.done()):
            for _ in range(15):
                await asyncio.sleep(0)
            self.clock.advance(step)


def joined(incarnation):
    record = MemberJoined(
        author=incarnation,
        time=0.0,
        incarnation=incarnation,
        name=incarnation,
        domain=DOMAIN,
        peer_address="",
        http_address="",
    )
    return PositionedRecord(0, 0, record)


def model_call(program, secret, messages, turn=None, tokens=100, stream=False):
    """Return an exchange as the parse filter leaves it."""
    request = Request(
        method="POST",
        path="/v1/chat/completions",
        headers={"eelgrass-secret": secret},
        body=str(messages).encode(),
    )
    return Exchange(
        request=request,
        responder=FakeResponder(),
        kind=RequestKind.MODEL,
        body={"model": "m", "messages": messages, "stream": stream},
        program=program,
        turn=turn,
        model="m",
        stream=stream,
        prompt_tokens=tokens // 2,
        max_tokens=tokens - tokens // 2,
    )


def plain_call(
    action, body=b"fee", method="POST", rest="/fees", program="", headers=None
):
    """Return an exchange for a plain service."""
    names = dict(headers or {})
    if action:
        names["idempotency-key"] = action
    request = Request(method=method, path="/licence-app" + rest, headers=names)
    return Exchange(
        request=Request(**{**_fields(request), "body": body}),
        responder=FakeResponder(),
        kind=RequestKind.PLAIN,
        service="licence-app",
        rest=rest,
        program=program,
    )


def _fields(request):
    return {
        "method": request.method,
        "path": request.path,
        "headers": request.headers,
    }


def user(text):
    return {"role": "user", "content": text}


class Caller:
    """An agent program's process: keeps its history and calls a daemon."""

    def __init__(self, fleet, created):
        self.fleet = fleet
        self.program = created.program
        self.secret = created.secret
        self.history = []
        self.turn = 0

    def call(self, text, **changes):
        messages = [*self.history, user(text)]
        return model_call(self.program, self.secret, messages, self.turn, **changes)

    async def ask(self, daemon, text, **changes):
        exchange = self.call(text, **changes)
        await self.fleet.run(daemon.serve(exchange))
        answer = {"role": "assistant", "content": exchange.responder.body.decode()}
        self.history = [*exchange.body["messages"], answer]
        self.turn += 1
        return exchange


async def start(fleet, daemon, **changes):
    created = await fleet.run(daemon.programs.create(**changes))
    return Caller(fleet, created)


async def refused(fleet, work):
    with pytest.raises(Refusal) as caught:
        await fleet.run(work)
    return caught.value
