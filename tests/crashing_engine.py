"""An engine as a process of its own that some requests end, and that is back later."""

import asyncio
import json
import os
import sys

from attrs import define

from eelgrasslock_standins.bare_server import Run, read_request, reset
from eelgrasslock_standins.platform_engine import PlatformEngineStandin
from engine_process import EngineProcess

CRASHING = "crashing"
LINGER_SECONDS = 1.0
AFTER_ANSWER_SECONDS = 0.005


@define(eq=False, kw_only=True)
class CrashingEngine(PlatformEngineStandin):
    """Ends its process at requests whose path has a segment, in one of several ways.

    Attributes
    ----------
    way : str
        ``at_once``; ``error_first`` or ``answer_first``, a whole answer before the
        end; ``lingering``, connections close first and the port takes new ones for
        a while.
    """

    way: str = "at_once"
    is_lingering: bool = False

    async def serve_one(self, reader, writer):
        """Answer one request, or end the process."""
        if self.is_lingering:
            await read_request(reader)
            return await reader.read() != b""
        return await super().serve_one(reader, writer)

    def _is_crashed_by(self, run: Run) -> bool:
        return CRASHING in run.target

    async def _crash(self, reader):
        if self.way == "at_once":
            os._exit(1)
        if self.way == "lingering":
            self.is_lingering = True
            for writer in list(self._writers):
                reset(writer)
            await asyncio.sleep(LINGER_SECONDS)
            os._exit(1)
        asyncio.get_running_loop().call_later(AFTER_ANSWER_SECONDS, os._exit, 1)
        return True

    async def _answer(self, run, fault, reader, writer):
        if self._is_crashed_by(run):
            print(run.target.partition("?")[0], flush=True)
        if self._is_crashed_by(run) and self.way in _ANSWERS:
            status, body = _ANSWERS[self.way]
            run.ran = True
            head = (
                f"HTTP/1.1 {status} Status\r\nRequest-Id: {run.id}\r\n{self._stamp()}"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            return await self._crash(reader)
        return await super()._answer(run, fault, reader, writer)


_ANSWERS = {
    "error_first": (500, b"failed"),
    "answer_first": (200, b"id: 1\ndata: whole\n\n"),
}


class CrashingProcess(EngineProcess):
    """Starts such an engine; knows which requests ended it."""

    script = __file__

    async def read_cause(self):
        """Return the path of a request that ends it, empty if it was stopped."""
        return (await self.process.stdout.readline()).decode().strip()


async def main(shape):
    """Serve until the end."""
    engine = CrashingEngine(**shape)
    await engine.start()
    print(engine.address, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
