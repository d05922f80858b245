"""What daemons of the tests have in place of callers, engines, peers and the log."""

from eelgrasslock.exceptions import LogUnavailable, PeerUnavailable
from eelgrasslock.peers.member_table import MemberTable
from eelgrasslock.programs.ownership import owner_of
from eelgrasslock.requests.exchange import (
    CallResult,
    RequestKind,
)
from eelgrasslock.requests.usage import Usage


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
