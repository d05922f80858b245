"""What a turn asks of the ledger, and what it gets."""

from attrs import frozen

from eelgrasslock.scheduling.load_shedding import ProgramStage


@frozen(kw_only=True)
class DrawRequest:
    """Tokens that a turn needs from its program's budget.

    Attributes
    ----------
    program : str
        The program's id.
    budget : int
        Tokens that all turns of the program may generate.
    limit : int
        What all daemons may draw of it now.
    needed_tokens : int
        The fewest tokens with which the turn can run.
    max_generated_tokens : int
        The most tokens that the turn may generate.
    preferred_endpoint : str
        The engine that ran the program's last turn here, empty if none did.
    suggested_endpoint : str
        The engine to use if no draw in the log names one.
    """

    program: str
    budget: int
    limit: int
    needed_tokens: int
    max_generated_tokens: int
    preferred_endpoint: str = ""
    suggested_endpoint: str = ""


@frozen(kw_only=True)
class DrawResult:
    """Result of one draw.

    Attributes
    ----------
    tokens : int
        Tokens that were drawn, 0 if less than needed is left.
    stage : ProgramStage
        What the log shows of the program before the draw.
    preferred_endpoint : str
        The engine that holds the program's context, empty if none is known.
    """

    tokens: int
    stage: ProgramStage
    preferred_endpoint: str = ""
