"""What the operators' interface answers, as typed objects."""

from attrs import define, field


@define(kw_only=True)
class ErrorView:
    """Why a request of an operator was refused.

    Attributes
    ----------
    code : str
        A stable word for programs.
    sentence : str
        One sentence for people.
    version, author : int, str
        For a conflict, the version in force and its operator.
    findings : list of FindingView
        What is wrong with settings.
    ask : list of str
        HTTP addresses of daemons that may know more.
    """

    code: str
    sentence: str
    version: int = 0
    author: str = ""
    findings: "list[FindingView]" = field(factory=list)
    ask: list[str] = field(factory=list)


@define(kw_only=True)
class FindingView:
    """One thing wrong with settings, with its place."""

    message: str
    file: str
    line: int
    path: str


@define(kw_only=True)
class VersionView:
    """A configuration version; `files` is empty in answers to changes."""

    version: int
    id: str
    author: str
    time: float
    files: dict[str, str] = field(factory=dict)


@define(kw_only=True)
class MemberView:
    """A daemon of the fleet, as seen by the daemon that answers."""

    name: str
    domain: str
    incarnation: str
    http_address: str
    peer_address: str
    joined: float
    silent: bool
    answering: bool


@define(kw_only=True)
class FleetView:
    """The fleet, and the state of the daemon that answers."""

    version: int
    log_available: bool
    draining: bool
    members: list[MemberView]


@define(kw_only=True)
class EndpointStateView:
    """An endpoint, as seen by the daemon that answers."""

    endpoint: str
    service: str
    domain: str
    url: str
    in_flight: int
    load: int
    breaker: str
    leaving: list[str]
    parked_seconds: float


@define(kw_only=True)
class ProgramView:
    """A program of the answering daemon's failure domain."""

    program: str
    holder: str
    turn: int
    spent_tokens: int
    limit_tokens: int
    created: float
    active: float
    ended: str
    parent: str


@define(kw_only=True)
class SuspectView:
    """A request digest that crashed endpoints or is refused."""

    digest: str
    crashes: int
    refused: bool
    by_operator: bool


@define(kw_only=True)
class ActionView:
    """An action of which nobody knows whether it ran."""

    service: str
    action: str
    program: str
    author: str
    time: float


@define(kw_only=True)
class PublishOrder:
    """An operator's order to put a folder in force.

    Attributes
    ----------
    id : str
        The record id, the same when the order is repeated.
    author : str
        The operator.
    replaces : str
        The record id of the version that the operator started from.
    files : dict of str to str
        Names and texts.
    """

    id: str
    author: str
    replaces: str
    files: dict[str, str]


@define(kw_only=True)
class DrainOrder:
    """An operator's order to drain an endpoint, or to undo that."""

    author: str
    undo: bool = False


@define(kw_only=True)
class AuthoredOrder:
    """An operator's order that needs nothing but a name."""

    author: str


@define(kw_only=True)
class ResolveOrder:
    """What an operator found out about an action."""

    author: str
    service: str
    action: str
    result: str
