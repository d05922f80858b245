"""The failure domains whose programs this daemon serves."""

from collections.abc import Callable
from typing import Protocol

from attrs import frozen
from loguru import logger

from eelgrasslock.log.records import Record, journal_stream
from eelgrasslock.programs.controller import ProgramController
from eelgrasslock.programs.program_ids import parse_program_id
from eelgrasslock.requests.exchange import Exchange, Filter, Proceed, RequestKind, chain

_log = logger.bind(part="homes")


class Controller(Protocol):
    """A part with a life of its own."""

    async def start(self) -> None:
        """Begin to work."""

    async def stop(self) -> None:
        """End all tasks; a second call does nothing."""


@frozen
class Home:
    """What serves the programs of one failure domain.

    Attributes
    ----------
    programs : ProgramController
        The programs, folded from that domain's journal.
    controllers : list of Controller
        What is started and stopped with them, `programs` included.
    filters : list of Filter
        The part of the chain that deals with these programs.
    """

    programs: ProgramController
    controllers: list[Controller]
    filters: list[Filter]


class Homes:
    """The own home, and those adopted while their domain has no daemon left.

    A domain's journal is read only from the first call on for a program that
    this daemon owns there, so a daemon reads one journal on ordinary days.

    Parameters
    ----------
    domain : str
        The daemon's own failure domain.
    make : callable
        Returns a new `Home` for a domain.
    """

    def __init__(self, domain: str, make: Callable[[str], Home]) -> None:
        self.domain = domain
        self.make = make
        self.own = make(domain)
        self.homes = {domain: self.own}

    async def start(self) -> None:
        """Start the own home."""
        await _start(self.own)

    async def stop(self) -> None:
        """Stop all homes."""
        for home in self.homes.values():
            for controller in reversed(home.controllers):
                await controller.stop()

    async def of(self, domain: str) -> Home:
        """Return a domain's home, started on its first use."""
        home = self.homes.get(domain)
        if home is None:
            _log.warning("Adopting programs of {}, which has no daemon.", domain)
            home = self.homes[domain] = self.make(domain)
            await _start(home)
        return home

    def unjournaled_count(self) -> int:
        """Return how many records wait for the log here."""
        return sum(home.programs.unjournaled_count() for home in self.homes.values())

    def hold(self, stream: str, records: list[Record]) -> None:
        """Keep a peer's unjournaled records of a stream."""
        home = self._by_stream(stream)
        if home is not None:
            home.programs.peer_records.add(stream, records)

    def held(self, stream: str) -> list[Record]:
        """Return what is kept for peers of a stream."""
        home = self._by_stream(stream)
        return home.programs.peer_records.records(stream) if home is not None else []

    def _by_stream(self, stream: str) -> Home | None:
        for domain, home in self.homes.items():
            if journal_stream(domain) == stream:
                return home
        return None


async def _start(home: Home) -> None:
    for controller in home.controllers:
        await controller.start()


class HomeFilter:
    """Passes a call to the filters of its program's home.

    Parameters
    ----------
    homes : Homes
        The homes.
    """

    name = "home"

    def __init__(self, homes: Homes) -> None:
        self.homes = homes

    async def handle(self, exchange: Exchange, proceed: Proceed) -> None:
        """Run the home's filters, then the rest of the chain.

        A plain call has no business with its program's home.
        """
        if exchange.kind is RequestKind.PLAIN:
            await proceed(exchange)
            return
        domain = self.homes.domain
        if exchange.program:
            domain = parse_program_id(exchange.program).domain
        home = await self.homes.of(domain)
        await chain(home.filters, proceed)(exchange)
