"""A request that ends each engine that runs it, sent to one daemon after the other."""

import asyncio
import time

from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.http.pool import ConnectFailed
from platform_fleet import LOOKUPS, TURNS, PlatformFleet

STABLE_WINDOW_SECONDS = 3.0
SEND_SECONDS = 0.35
RETURN_SECONDS = 0.8
REPLACE_SECONDS = 0.7
ENDPOINTS = 6
# The rule allows three more hand-overs once the third crash is known.
ALLOWED_AFTER_THIRD = 3

POISON = b"poison"
BODILESS = f"{LOOKUPS}poison"
HEARTBEAT_SECONDS = 0.6


class CrashingFleet(PlatformFleet):
    """Daemons in three failure domains, and engines that some requests end."""

    def __init__(self):
        super().__init__()
        self.return_seconds = RETURN_SECONDS
        # After how long an ended engine is no longer registered; it then comes
        # back under another id and address. None: under the same ones.
        self.removal_seconds = None
        self.engines = []
        self.daemon_numbers = {domain: 0 for domain in "abc"}
        self.statuses = []
        self.leaving = []
        self.next_daemon = 0

    async def start(self, count=3, service="desk", **shape):
        """Start the engines, which are back some time after their end, and daemons."""
        for _ in range(ENDPOINTS):
            engine = await self.endpoint(service=service, **shape)
            self.engines.append(engine)
            self.keep_running(engine, service)
        for number in range(count):
            await self.add_daemon("abc"[number % 3])
        await asyncio.sleep(HEARTBEAT_SECONDS)

    def keep_running(self, engine, service):
        async def restart():
            returned = 0
            while True:
                await asyncio.sleep(0.02)
                if len(engine.crashed_at) > returned:
                    returned = len(engine.crashed_at)
                    await self.bring_back(engine, service)

        task = asyncio.create_task(restart())
        self.stack.callback(task.cancel)

    async def bring_back(self, engine, service):
        if engine.keeps_port:
            await asyncio.sleep(self.removal_seconds)
            self.unregister(engine)
            await asyncio.sleep(self.return_seconds)
            await self.start_like(engine, service)
            return
        if self.removal_seconds is not None:
            await asyncio.sleep(self.removal_seconds)
            self.unregister(engine)
            engine.id = f"i-{next(self.ids)}"
            engine.address = ""
        await asyncio.sleep(self.return_seconds)
        await engine.start()
        self.register(engine, service, born=round(time.time() * 1_000))

    async def start_like(self, engine, service):
        """Start another engine, which the same requests end."""
        other = await self.endpoint(
            service=service,
            events=engine.events,
            crashes_on=engine.crashes_on,
            crashes_silently=True,
            keeps_port=True,
            entry={"born": round(time.time() * 1_000)},
        )
        self.engines.append(other)
        self.keep_running(other, service)

    async def add_daemon(self, domain):
        self.daemon_numbers[domain] += 1
        name = f"{domain}-{self.daemon_numbers[domain]}"
        return await self.ready_daemon(self.engines[:1], name=name, domain=domain)

    async def replace(self, daemon):
        """Start another daemon, then stop this one as planned."""
        await self.add_daemon(daemon.application.settings.domain)
        self.daemons.remove(daemon)
        self.leaving.append(asyncio.create_task(self.leave(daemon)))

    async def leave(self, daemon):
        await daemon.application.drain()
        await daemon.application.stop()

    async def replace_in_turn(self):
        while True:
            await asyncio.sleep(REPLACE_SECONDS)
            await self.replace(self.daemons[0])

    async def replace_abruptly(self, pause_seconds):
        """Replace one daemon after the other, which tell nothing as they end."""
        while True:
            await asyncio.sleep(pause_seconds)
            await self.replace_at_once(self.daemons[0])

    async def replace_at_once(self, daemon):
        """Start another daemon, and end this one without a word."""
        await self.add_daemon(daemon.application.settings.domain)
        self.daemons.remove(daemon)
        daemon.faults.refusing = "reset"
        await daemon.application.stop()

    async def stop_replacing(self, replacing):
        replacing.cancel()
        await asyncio.gather(replacing, *self.leaving, return_exceptions=True)

    async def kill_all(self):
        """Replace all daemons at once, without a word of the old ones."""
        before, self.daemons = self.daemons, []
        for daemon in before:
            daemon.faults.refusing = "reset"
            await daemon.application.stop()
        for daemon in before:
            await self.add_daemon(daemon.application.settings.domain)

    async def send_to_next(self, path, method="GET", body=b"", **headers):
        """Send the request to the next daemon, and keep its status."""
        self.next_daemon += 1
        daemon = self.daemons[self.next_daemon % len(self.daemons)]
        try:
            async with asyncio.timeout(2.5):
                status, _, _ = await self.call(daemon, path, method, body, **headers)
        except (ConnectionBroken, ConnectFailed, TimeoutError):
            status = 0
        self.statuses.append(status)

    async def send_for(self, seconds, *request, **headers):
        """Send the request again and again, whatever became of the one before."""
        until = time.monotonic() + seconds
        sent = []
        while time.monotonic() < until:
            sent.append(asyncio.create_task(self.send_to_next(*request, **headers)))
            await asyncio.sleep(SEND_SECONDS)
        await asyncio.gather(*sent)

    async def send_one_by_one(self, seconds, *request, **headers):
        """Send the request again as soon as it is known what became of it."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await self.send_to_next(*request, **headers)
            await asyncio.sleep(SEND_SECONDS)

    async def stop_beside_crashes(self, bystander):
        """Stop an endpoint for a moment at each crash of another one."""
        seen = 0
        while True:
            await asyncio.sleep(0.002)
            crashes = sum(len(engine.crashed_at) for engine in self.engines)
            if crashes > seen:
                seen = crashes
                await bystander.stop()
                await asyncio.sleep(0.4)
                await bystander.start()

    async def use_turns(self):
        while True:
            await self.turn(self.daemons[0], "bystander", budget=10**9)
            await asyncio.sleep(0.01)

    def ends(self):
        """Return when engines ended, in seconds after the first end."""
        ends = sorted(at for engine in self.engines for at in engine.crashed_at)
        return [round(at - ends[0], 2) for at in ends]

    def has_ends(self):
        return any(engine.crashed_at for engine in self.engines)

    def check(self):
        """Check that no more than three engines end once the third end is known."""
        assert self.has_ends(), self.statuses
        ends = self.ends()
        late = [at for at in ends[3:] if at > ends[2] + STABLE_WINDOW_SECONDS]
        assert len(late) <= ALLOWED_AFTER_THIRD, (ends, self.statuses)


TURN_HEADERS = {
    "Program_Id": "poisoned",
    "Session_Id": "s",
    "Token_Budget": 100_000,
    "Token_Usage": "100,220",
    "Prompt_Prefix": "5c1e:90,91bd:10",
}
TURN_PATH = f"{TURNS}x"
