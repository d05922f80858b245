"""An endpoint as a process of its own, which the kernel cleans up after."""

import asyncio
import json
import os
import pathlib
import signal
import sys

from child_processes import end_with_parent
from eelgrasslock_standins.platform_engine import Fault, PlatformEngineStandin

SOURCE = pathlib.Path(__file__).resolve().parent.parent / "src"


class EngineProcess:
    """Starts an endpoint on a port, and kills it."""

    script = __file__

    def __init__(self, id, **shape):
        self.id = id
        self.shape = shape
        self.address = ""
        self.process = None

    async def start(self):
        """Start it, at the address that it had if it had one."""
        shape = {"id": self.id, "address": self.address, **self.shape}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            self.script,
            json.dumps(shape),
            stdout=asyncio.subprocess.PIPE,
            start_new_session=True,
            preexec_fn=end_with_parent,
            env={**os.environ, "PYTHONPATH": str(SOURCE)},
        )
        self.address = (await self.process.stdout.readline()).decode().strip()

    async def kill(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    def freeze(self):
        self.process.send_signal(signal.SIGSTOP)


async def main(shape):
    fault = Fault(shape.pop("usual_fault", "none"))
    engine = PlatformEngineStandin(usual_fault=fault, **shape)
    await engine.start()
    print(engine.address, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
