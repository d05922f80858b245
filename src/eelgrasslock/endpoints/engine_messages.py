"""What engines tell, and what they are ordered."""

from attrs import frozen

from eelgrasslock.scheduling.calls import CacheEvent, LoadReport


@frozen(kw_only=True)
class EndpointLoad:
    """An endpoint's own word on itself.

    Attributes
    ----------
    report : LoadReport
        Its load.
    leaving : bool
        Whether it is about to leave.
    epoch : str
        Differs after each restart.
    """

    report: LoadReport
    leaving: bool = False
    epoch: str = ""


@frozen(kw_only=True)
class CacheNews:
    """An engine's cache events since the last look.

    Attributes
    ----------
    epoch : str
        Differs after each restart; the numbers then begin anew.
    events : list of CacheEvent
        In the order of their numbers.
    """

    epoch: str
    events: list[CacheEvent]


@frozen(kw_only=True)
class EngineOrder:
    """An order to an engine.

    Attributes
    ----------
    kind : str
        ``model``, ``adapter`` or ``role``.
    value : str
        What to load, or which role to take.
    fence : int
        The fencing number; an engine that checks refuses an older one.
    """

    kind: str
    value: str
    fence: int
