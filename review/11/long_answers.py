"""A sound server whose answers are as long as the path says, as the service `desk`."""

from eelgrasslock_standins.platform_engine import PlatformEngineStandin


class LongAnswerServer(PlatformEngineStandin):
    """Answers with a length, all bytes at once."""

    async def _plain(self, run, fault, writer):
        size = int(run.target.rpartition("/")[2])
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {run.id}\r\nServer-Stamp: {self.id}.s\r\n"
            f"Content-Length: {size}\r\nKeep-Alive: timeout=5\r\n\r\n"
        )
        writer.write(head.encode() + b"b" * size)
        await writer.drain()
        run.finished = True
        return True
