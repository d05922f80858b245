"""Processor time and memory of placement decisions, as the fleet grows."""

import random
import time
import tracemalloc
from collections import deque

from attrs import frozen
from rich.console import Console
from rich.table import Table

from eelgrasslock.clock import ManualClock
from eelgrasslock.configuration.settings import (
    Configuration,
    EndpointSettings,
    ModelSettings,
    ServiceKind,
    ServiceSettings,
)
from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import Call, CallOutcome
from eelgrasslock.scheduling.scheduler import Scheduler

ENGINES = (10, 100, 350, 3_800)
PROGRAMS = (100, 1_000, 10_000)
_PROMPT_BLOCKS = 512
_SHARED_BLOCKS = 128
_DECISIONS = 1_000
_CACHE_TOKENS = 20_000_000
_WAITING = (0, 100, 1_000)


@frozen(kw_only=True)
class DecisionCost:
    """What one decision costs in one setting.

    Attributes
    ----------
    engines, programs, waiting : int
        The setting: endpoints, programs known, and calls that wait.
    microseconds : float
        Processor time to submit, place and finish one call, prompt hashes given.
    """

    engines: int
    programs: int
    waiting: int
    microseconds: float


@frozen(kw_only=True)
class MemoryCost:
    """Resident bytes of the scheduler's state.

    Attributes
    ----------
    per_endpoint, per_program : float
        Slopes, in bytes; each program has sent one prompt of 10,240 tokens.
    """

    per_endpoint: float
    per_program: float


def configuration(engines: int) -> Configuration:
    """Return a deployment with a number of engines."""
    return Configuration(
        deployment="costs",
        domains=["riga-a"],
        services={"hydro-llm": ServiceSettings(kind=ServiceKind.ENGINE)},
        models={"hydro": ModelSettings(service="hydro-llm")},
        endpoints={
            f"e{number}": EndpointSettings(
                service="hydro-llm",
                domain="riga-a",
                url="http://127.0.0.1:1",
                cache_tokens=_CACHE_TOKENS,
            )
            for number in range(engines)
        },
    )


def make_scheduler(engines: int) -> Scheduler:
    """Return a scheduler of a number of engines."""
    clock = ManualClock()
    return Scheduler(clock, random.Random(1), configuration(engines), "riga-a")


def make_call(number: int, program: int) -> Call:
    """Return a call whose prompt begins as all others and ends as its program's."""
    own = program * 1_000_000 + (1 << 32)
    blocks = (*range(_SHARED_BLOCKS), *range(own, own + _PROMPT_BLOCKS))
    return Call(
        id=f"call-{number}",
        program=f"program-{program}",
        service="hydro-llm",
        model="hydro",
        call_class=CallClass.CALLER_WAITING,
        blocks=blocks,
        prompt_tokens=len(blocks) * 16,
        max_tokens=500,
    )


def measure_decision(engines: int, programs: int, waiting: int = 0) -> DecisionCost:
    """Return the processor time of one decision."""
    scheduler = make_scheduler(engines)
    running: deque[str] = deque()
    rng = random.Random(2)
    for number in range(programs):
        _cycle(scheduler, make_call(number, number), running)
    _fill(scheduler, waiting, running)
    picked = [
        make_call(programs + number, rng.randrange(programs))
        for number in range(_DECISIONS)
    ]
    started = time.process_time()
    for call in picked:
        _cycle(scheduler, call, running)
    seconds = time.process_time() - started
    return DecisionCost(
        engines=engines,
        programs=programs,
        waiting=waiting,
        microseconds=seconds / _DECISIONS * 1e6,
    )


def measure_memory() -> MemoryCost:
    """Return the slopes of memory with endpoints and programs."""
    few, many = (_bytes_of(engines, 1) for engines in (100, 1_100))
    one, some = (_bytes_of(100, programs) for programs in (1, 1_001))
    return MemoryCost(
        per_endpoint=(many - few) / 1_000, per_program=(some - one) / 1_000
    )


def print_costs(console: Console) -> list[DecisionCost]:
    """Measure and print all tables; return the decisions' costs."""
    costs = [
        measure_decision(engines, programs)
        for engines in ENGINES
        for programs in PROGRAMS
    ]
    costs += [measure_decision(10, 100, waiting) for waiting in _WAITING[1:]]
    table = Table(title="Processor time of one decision")
    for heading in ("engines", "programs", "waiting", "microseconds"):
        table.add_column(heading, justify="right")
    for cost in costs:
        table.add_row(
            str(cost.engines),
            str(cost.programs),
            str(cost.waiting),
            f"{cost.microseconds:.0f}",
        )
    console.print(table)
    memory = measure_memory()
    console.print(
        f"{memory.per_endpoint:.0f} bytes an endpoint,"
        f" {memory.per_program:.0f} bytes a program.",
        highlight=False,
    )
    return costs


def _cycle(scheduler: Scheduler, call: Call, running: deque[str]) -> None:
    """Submit one call, start what may start, and finish the oldest."""
    scheduler.submit(call)
    running.extend(one.call.id for one in scheduler.assign())
    oldest = running.popleft()
    usage = Usage(prompt_tokens=call.prompt_tokens, completion_tokens=200)
    scheduler.progress(oldest, 1)
    scheduler.finish(oldest, CallOutcome.DONE, usage)
    running.extend(one.call.id for one in scheduler.assign())


def _fill(scheduler: Scheduler, waiting: int, running: deque[str]) -> None:
    """Use all slots and let a number of calls wait."""
    number = 10_000_000
    while len(scheduler.waiting) < waiting:
        scheduler.submit(make_call(number, number))
        running.extend(one.call.id for one in scheduler.assign())
        number += 1


def _bytes_of(engines: int, programs: int) -> int:
    tracemalloc.start()
    scheduler = make_scheduler(engines)
    running: deque[str] = deque()
    for number in range(programs):
        _cycle(scheduler, make_call(number, number), running)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size
