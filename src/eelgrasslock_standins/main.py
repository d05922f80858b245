"""The command that starts one stand-in as a process of its own."""

import asyncio
import pathlib
import random

import click
import yaml

from eelgrasslock_standins.engine import EngineStandin
from eelgrasslock_standins.engine_core import EngineCore
from eelgrasslock_standins.engine_settings import EngineFaults, EngineShape
from eelgrasslock_standins.log import LogFaults, LogStandin
from eelgrasslock_standins.service import ServiceFaults, ServiceStandin
from eelgrasslock_standins.serving import ScaledClock, serve
from eelgrasslock_standins.vms import VMFaults, VMListStandin
from eelgrasslock_standins.weights import WeightFaults, WeightStandin

_port = click.option(
    "--port",
    "ports",
    type=int,
    multiple=True,
    default=(0,),
    help="Loopback port; 0 takes a free one. May be given more than once.",
)
_scale = click.option(
    "--time-scale",
    type=float,
    default=1.0,
    show_default=True,
    help="Real seconds for each second of the stand-in.",
)


@click.group()
def main() -> None:
    """Start a stand-in of the platform or of a back end on loopback."""


@main.command()
@_port
@_scale
@click.option("--rate", type=float, default=400.0, help="Appends a second.")
@click.option("--retention", type=float, default=0.0, help="Seconds; 0 keeps all.")
def log(
    ports: tuple[int, ...], time_scale: float, rate: float, retention: float
) -> None:
    """Start an append-only log."""
    faults = LogFaults(appends_per_second=rate, retention_seconds=retention)
    standin = LogStandin(ScaledClock(time_scale), faults)
    asyncio.run(serve(standin.application(), list(ports)))


@main.command()
@_port
@_scale
@click.option("--lag", type=float, default=3.0, help="Seconds until a change shows.")
@click.option(
    "--file",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="YAML file with the first list, under the key vms.",
)
def vms(
    ports: tuple[int, ...], time_scale: float, lag: float, file: pathlib.Path | None
) -> None:
    """Start a VM list."""
    first = yaml.safe_load(file.read_text())["vms"] if file else []
    faults = VMFaults(lag_seconds=lag)
    standin = VMListStandin(ScaledClock(time_scale), faults, first)
    asyncio.run(serve(standin.application(), list(ports)))


@main.command()
@_port
@_scale
@click.option("--name", default="engine", show_default=True)
@click.option("--model", "models", multiple=True, help="May be given more than once.")
@click.option("--batch-limit", type=int, default=16, show_default=True)
@click.option("--cache-tokens", type=int, default=200_000, show_default=True)
@click.option("--context-tokens", type=int, default=131_072, show_default=True)
@click.option("--prefill-rate", type=float, default=8_000.0, show_default=True)
@click.option("--decode-rate", type=float, default=40.0, show_default=True)
@click.option("--checks-fencing", is_flag=True)
@click.option("--credential", default="", help="Bearer token that calls must carry.")
@click.option("--seed", type=int, default=0, show_default=True)
def engine(
    ports: tuple[int, ...],
    time_scale: float,
    name: str,
    models: tuple[str, ...],
    batch_limit: int,
    cache_tokens: int,
    context_tokens: int,
    prefill_rate: float,
    decode_rate: float,
    checks_fencing: bool,
    credential: str,
    seed: int,
) -> None:
    """Start a model engine."""
    shape = EngineShape(
        name=name,
        models=list(models),
        batch_limit=batch_limit,
        cache_tokens=cache_tokens,
        context_tokens=context_tokens,
        prefill_tokens_per_second=prefill_rate,
        decode_tokens_per_second=decode_rate,
    )
    faults = EngineFaults(checks_fencing=checks_fencing)

    async def run() -> None:
        clock = ScaledClock(time_scale)
        core = EngineCore(shape, faults, clock, random.Random(seed))
        await serve(EngineStandin(core, credential).application(), list(ports))

    asyncio.run(run())


@main.command()
@_port
@_scale
@click.option("--name", default="service", show_default=True)
@click.option("--slow", type=float, default=0.0, help="Seconds for each call.")
def service(ports: tuple[int, ...], time_scale: float, name: str, slow: float) -> None:
    """Start a plain service; several ports share one memory."""
    faults = ServiceFaults(slow_seconds=slow)
    standin = ServiceStandin(name, ScaledClock(time_scale), faults)
    asyncio.run(serve(standin.application(), list(ports)))


@main.command()
@_port
@_scale
@click.option("--rate", type=float, default=2.0, help="Reads a second.")
def weights(ports: tuple[int, ...], time_scale: float, rate: float) -> None:
    """Start a weight store."""
    faults = WeightFaults(reads_per_second=rate)
    standin = WeightStandin(ScaledClock(time_scale), faults)
    asyncio.run(serve(standin.application(), list(ports)))


if __name__ == "__main__":
    main()
