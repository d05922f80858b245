"""An engine drains while it sends streams without a length; they are asked for again.

Its streams are whole and in time. Each ends with its connection, as the pages allow.
The daemon then sends the same request to the same engine once more, to learn whether
more follows, however long ago the engine has reported that it drains.
"""

import asyncio
import pathlib
import secrets

from review_engine import ReviewEngine, now, since
from review_fleet import TROUBLE, Fleet, run_case, send, turns_configuration

from eelgrasslock_standins.platform_engine import Fault

FOLDER = pathlib.Path(__file__).resolve().parent
ZONES = ("tr-west-a", "tr-west-b", "tr-west-c")
EVENTS = 11
EVENT_SECONDS = 0.22
TOKENS_PER_EVENT = 33
STREAMS = 12
DRAIN_SECONDS = 2.0


async def stream(fleet, number):
    """Send a request for a stream, and return what came."""
    daemon = fleet.daemons[number % len(fleet.daemons)]
    request = secrets.token_hex(8)
    headers = {
        "Request-Id": request,
        "Model": "m",
        "Token-Usage": f"1460,{EVENTS * TOKENS_PER_EVENT}",
        "Prompt-Prefix": f"5c1e07a2:800,{request}:660",
        "Deadline-Ms": 3_000,
    }
    fleet.record.add(f"sent {request} to {daemon.name}")
    body = f"draft {number}".encode()
    answer = await send(daemon.front, "POST", "/draft/2f", headers, body)
    fleet.record.add(
        f"answer {request}: {answer.status} {answer.code} {answer.events} events, "
        f"{'whole' if answer.is_whole else 'broken off'}"
    )
    return answer


async def main():
    """Run the case."""
    async with Fleet(FOLDER) as fleet:
        fleet.configure(turns_configuration(TOKENS_PER_EVENT, 3_000, 300))
        for zone in ZONES:
            for _ in range(2):
                engine = ReviewEngine(
                    events=EVENTS,
                    event_seconds=EVENT_SECONDS,
                    usual_fault=Fault.UNFRAMED,
                )
                await fleet.add_engine("lm-pool", zone, engine)
        await fleet.start([(f"edge-{zone}-1", zone) for zone in ZONES])
        await asyncio.sleep(6.0)
        engines = [one for one, _, _ in fleet.engines.values()]
        streams = [asyncio.create_task(stream(fleet, n)) for n in range(STREAMS)]
        await asyncio.sleep(0.3)
        drained_at = {}
        if TROUBLE:
            # The operator takes a part of the engines away (`scale_in`).
            leaving = max(engines, key=lambda one: len(one.started))
            fleet.engines[leaving.id][1]["state"] = "draining"
            fleet.beat(leaving.id)
            drained_at[leaving.id] = now()
            fleet.record.add(f"engine {leaving.id} is draining, acknowledged")
        answers = await asyncio.gather(*streams)
        await asyncio.sleep(0.5)
        late = []
        for engine in engines:
            for run in engine.started:
                seconds = run.arrived_at - drained_at.get(engine.id, float("inf"))
                fleet.record.add(
                    f"engine {engine.id} got {run.method} {run.target} {run.id} at "
                    f"{since(fleet.record.began_at, run.arrived_at)}, "
                    f"Last-Event-Id {run.headers.get('last-event-id')}, ran: {run.ran}"
                )
                if seconds > DRAIN_SECONDS:
                    late.append((run.id, round(seconds, 2)))
        whole = sum(one.is_whole and one.events == EVENTS for one in answers)
        fleet.record.add(
            f"{whole} of {STREAMS} streams were whole; "
            f"requests that reached an engine over {DRAIN_SECONDS} s after it drains: "
            f"{late}"
        )
        print(f"{whole} of {STREAMS} whole, late requests {late}")
        return bool(late)


if __name__ == "__main__":
    run_case(main)
