"""Measures what configuration and journal cost a daemon, as they grow."""

import time
import tracemalloc

import click
from attrs import frozen

from eelgrasslock.configuration.folder import load_configuration
from eelgrasslock.log.record_codec import encode_batch, readable_records
from eelgrasslock.log.records import ConfigVersion, PositionedRecord, Record
from eelgrasslock.programs.history import extend_digest, history_digest
from eelgrasslock.programs.journal import Journal
from eelgrasslock.programs.journal_records import (
    BudgetDrawn,
    ProgramCreated,
    ProgramLimits,
    TurnCommitted,
)
from eelgrasslock.programs.program_ids import new_program_id

ENDPOINTS = (38, 380, 3_800)
_ENDPOINTS_PER_FILE = 100
_DOMAINS = 11
_MODELS = 22
_PROGRAMS = 200
_TURNS = 20
_TURN_TEXT_BYTES = 1_600
_AUTHOR = "d1-0123456789ab"


@frozen(kw_only=True)
class ConfigurationCost:
    """What one change of the configuration costs a daemon.

    Attributes
    ----------
    endpoints : int
        In the configuration.
    whole_bytes, change_bytes : int
        The record of a whole configuration, and of a change to one small file.
    milliseconds : float
        Processor time to check and load it after that change.
    memory_bytes : int
        Of the loaded configuration.
    """

    endpoints: int
    whole_bytes: int
    change_bytes: int
    milliseconds: float
    memory_bytes: int


@frozen(kw_only=True)
class JournalCost:
    """What a program's turn costs a daemon that follows the journal.

    Attributes
    ----------
    message_bytes, record_bytes : float
        The text that a turn adds, and its record.
    microseconds : float
        Processor time to fold one record.
    program_bytes, turn_bytes : float
        Memory of a program without turns, and of each turn of its history.
    """

    message_bytes: float
    record_bytes: float
    microseconds: float
    program_bytes: float
    turn_bytes: float


def configuration_cost(endpoints: int) -> ConfigurationCost:
    """Measure one size of configuration."""
    files = _files(endpoints)
    tracemalloc.start()
    kept = load_configuration(files)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    changed = {**files, "50-weights.yaml": "weights: {latency: 2.0}\n"}
    started = time.process_time()
    load_configuration(changed)
    seconds = time.process_time() - started
    assert len(kept.configuration.endpoints) == endpoints
    change = {"50-weights.yaml": changed["50-weights.yaml"]}
    return ConfigurationCost(
        endpoints=endpoints,
        whole_bytes=len(encode_batch([_version(files)])),
        change_bytes=len(encode_batch([_version(change)])),
        milliseconds=seconds * 1_000.0,
        memory_bytes=memory,
    )


def journal_cost() -> JournalCost:
    """Measure the fold of a journal of programs with turns."""
    created = [_created() for _ in range(_PROGRAMS)]
    births = [encode_batch([record]) for record in created]
    turns = [
        encode_batch([record])
        for birth in created
        for record in _turn_records(birth.program)
    ]
    timed = Journal()
    _fold(timed, births, 0)
    started = time.process_time()
    _fold(timed, turns, len(births))
    seconds = time.process_time() - started
    tracemalloc.start()
    journal = Journal()
    _fold(journal, births, 0)
    empty, _ = tracemalloc.get_traced_memory()
    _fold(journal, turns, len(births))
    full, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert all(one.turn == _TURNS for one in journal.programs.values())
    return JournalCost(
        message_bytes=_TURN_TEXT_BYTES,
        record_bytes=sum(map(len, turns)) / len(turns),
        microseconds=seconds / len(turns) * 1e6,
        program_bytes=empty / _PROGRAMS,
        turn_bytes=(full - empty) / (_PROGRAMS * _TURNS),
    )


def _fold(journal: Journal, entries: list[bytes], first: int) -> None:
    for offset, data in enumerate(entries, start=first):
        for index, record in enumerate(readable_records(data)):
            journal.apply(PositionedRecord(offset, index, record))


def _files(endpoints: int) -> dict[str, str]:
    domains = ", ".join(f"d{one}" for one in range(_DOMAINS))
    models = "".join(f"  m{one}: {{service: pool}}\n" for one in range(_MODELS))
    files = {
        "10-deployment.yaml": f"deployment: big\ndomains: [{domains}]\n",
        "20-pool.yaml": f"services: {{pool: {{kind: engine}}}}\nmodels:\n{models}",
    }
    for first in range(0, endpoints, _ENDPOINTS_PER_FILE):
        last = min(endpoints, first + _ENDPOINTS_PER_FILE)
        entries = "".join(_endpoint(one) for one in range(first, last))
        files[f"40-engines-{first:05}.yaml"] = "endpoints:\n" + entries
    return files


def _endpoint(number: int) -> str:
    address = f"10.0.{number // 256}.{number % 256}"
    return (
        f"  e{number}:\n"
        "    service: pool\n"
        f"    domain: d{number % _DOMAINS}\n"
        f"    url: http://{address}:8000\n"
        "    batch_limit: 8\n"
        "    cache_tokens: 400000\n"
    )


def _version(files: dict[str, str]) -> ConfigVersion:
    return ConfigVersion(
        author="operator", time=0.0, version=1, replaces="", files=files
    )


def _created() -> ProgramCreated:
    return ProgramCreated(
        author=_AUTHOR,
        time=0.0,
        program=new_program_id("d1", _AUTHOR),
        creation_key="",
        secret_digest="0" * 64,
        parent="",
        limits=ProgramLimits(tokens=10_000_000, turns=1_000, age=1e9),
    )


def _turn_records(program: str) -> list[Record]:
    half = "x" * (_TURN_TEXT_BYTES // 2)
    messages = [
        {"role": "user", "content": half},
        {"role": "assistant", "content": half},
    ]
    digest = history_digest(program, [])
    records: list[Record] = [
        BudgetDrawn(author=_AUTHOR, time=0.0, program=program, tokens=1_000_000)
    ]
    for turn in range(_TURNS):
        after = extend_digest(digest, messages)
        records.append(_turn(program, turn, digest, after, messages))
        digest = after
    return records


def _turn(
    program: str, turn: int, builds_on: str, digest: str, messages: list[dict]
) -> TurnCommitted:
    answer = {"choices": [{"index": 0, "message": messages[-1]}]}
    return TurnCommitted(
        author=_AUTHOR,
        time=0.0,
        program=program,
        turn=turn,
        builds_on=builds_on,
        digest=digest,
        request_digest="0" * 64,
        messages=messages,
        answer=answer,
        tokens=400,
        endpoint="e1",
        reason="Chosen for the least cost.",
    )


@click.command()
def main() -> None:
    """Print what configuration and journal cost a daemon."""
    click.echo("endpoints  whole B  change B  load ms  memory B")
    for endpoints in ENDPOINTS:
        cost = configuration_cost(endpoints)
        click.echo(
            f"{cost.endpoints:9} {cost.whole_bytes:8} {cost.change_bytes:9} "
            f"{cost.milliseconds:8.1f} {cost.memory_bytes:9}"
        )
    turn = journal_cost()
    click.echo("text B/turn  record B  fold us  program B  turn B in memory")
    click.echo(
        f"{turn.message_bytes:11.0f} {turn.record_bytes:9.0f} "
        f"{turn.microseconds:8.1f} {turn.program_bytes:10.0f} {turn.turn_bytes:17.0f}"
    )


if __name__ == "__main__":
    main()
