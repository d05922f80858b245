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
from eelgrasslock.exceptions import LogUnavailable, PeerUnavailable, Refusal
from eelgrasslock.log.log_tail import LogTail
from eelgrasslock.log.log_writer import LogWriter
from eelgrasslock.log.records import MemberJoined, MemberRetired, PositionedRecord
from eelgrasslock.peers.member_table import MemberTable
from eelgrasslock.programs.controller import ProgramController
from eelgrasslock.programs.journal_records import ProgramLimits
from eelgrasslock.programs.ownership import owner_of
from eelgrasslock.requests.action_filter import ActionFilter
from eelgrasslock.requests.budget_filter import BudgetFilter
from eelgrasslock.requests.exchange import (
    CallResult,
    Exchange,
    Request,
    RequestKind,
    chain,
)
from eelgrasslock.requests.turn_filter import TurnFilter
from eelgrasslock.requests.usage import Usage
from fake_log import FakeLog

DOMAIN = "riga-a"
SERVICES = {
    "licence-app": ServiceSettings(
        kind=ServiceKind.PLAIN,
        methods=[MethodSettings(method="GET", path="/status/*", idempotent=True)],
    )
}


class FakeResponder:
    """Keeps what the caller receives."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.finished = False
        self.broken = False

    async def start(self, status, headers):
        if self.broken:
            raise ConnectionResetError
        self.status = status
        self.headers = headers

    async def write(self, chunk):
        self.body += chunk

    async def finish(self):
        self.finished = True


class FakeEngine:
    """The chain's last step: answers model calls and counts what ran.

    `fault` is an error to raise, after `fault_tokens` were used; `gate` is an
    event that a call waits for before it ends.
    """

    def __init__(self):
        self.runs = []
        self.fault = None
        self.fault_tokens = 0
        self.gate = None
        self.sent = True
        self.tokens = 0
        self.posting = b"posted %d"
        self.endpoint = "engine-1"

    async def __call__(self, exchange):
        exchange.sent = False
        if self.fault is not None and not self.fault_tokens:
            raise self.fault
        exchange.sent = self.sent
        self.runs.append((exchange.program, exchange.turn, exchange.request.body))
        if self.gate is not None:
            await self.gate.wait()
        if self.fault is not None:
            self.tokens += self.fault_tokens
            exchange.tokens_used = self.fault_tokens
            raise self.fault
        if exchange.kind is RequestKind.PLAIN:
            await self._answer(exchange, self.posting % len(self.runs))
            return
        self.tokens += exchange.prompt_tokens + exchange.max_tokens
        await self._complete(exchange, f"answer {len(self.runs)}")

    async def _complete(self, exchange, text):
        used = exchange.prompt_tokens + exchange.max_tokens
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        result = CallResult(
            message=message,
            answer={"id": f"c{len(self.runs)}", "model": "m", "choices": [choice]},
            usage=Usage(),
            tokens=used,
            endpoint=self.endpoint,
            reason="The only one.",
        )
        for hook in exchange.before_final:
            await hook(result)
        await self._answer(exchange, message["content"].encode())

    async def _answer(self, exchange, body):
        await exchange.responder.start(200, {"Content-Type": "text/plain"})
        await exchange.responder.write(body)
        await exchange.responder.finish()


class FakeMembership:
    """One daemon's view of the members."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.table = MemberTable()

    def owner(self, program):
        return owner_of(program, self.table)

    def is_self(self, member):
        return member.incarnation == self.incarnation

    def suspects(self):
        return set()


class FakePeers:
    """Links between the daemons of a fleet.

    `cut` ones don't answer, `lose` is how many answers get lost, `late` the
    seconds that each call takes, and `twice` repeats what is sent.
    """

    def __init__(self, fleet, awake):
        self.fleet = fleet
        self.awake = awake
        self.cut = False
        self.lose = 0
        self.late = 0.0
        self.twice = False

    async def hold(self, member, stream, records):
        peer = await self._reach(member)
        for _ in range(1 + self.twice):
            peer.programs.peer_records.add(stream, records)
        self._answer()

    async def held(self, member, stream):
        peer = await self._reach(member)
        self._answer()
        return peer.programs.peer_records.records(stream)

    async def _reach(self, member):
        peer = self.fleet.daemons[member.incarnation]
        await self.awake.wait()
        if self.late:
            await self.fleet.clock.sleep(self.late)
        await peer.peers.awake.wait()
        if self.cut or peer.peers.cut or peer.dead:
            raise PeerUnavailable("cut")
        return peer

    def _answer(self):
        self.lose -= 1
        if self.lose >= 0:
            raise PeerUnavailable("lost")


class LogLink:
    """One daemon's way to the log; a paused daemon neither asks nor hears."""

    def __init__(self, log, awake):
        self.log = log
        self.awake = awake
        self.cut = False

    async def append(self, stream, data):
        await self._pass()
        offset = await self.log.append(stream, data)
        await self.awake.wait()
        return offset

    async def read(self, stream, offset, limit):
        await self._pass()
        entries = await self.log.read(stream, offset, limit)
        await self.awake.wait()
        return entries

    async def _pass(self):
        await self.awake.wait()
        if self.cut:
            raise LogUnavailable("cut")


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
