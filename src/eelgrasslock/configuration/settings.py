"""The settings of a daemon and of a deployment, as typed objects.

`DaemonSettings` is what one process reads from its own folder when it starts.
`Configuration` is what operators publish on the log for the whole deployment.
Both come from a folder of YAML files (see `folder`).
"""

import enum

from attrs import field, frozen

from eelgrasslock.programs.journal_records import ProgramLimits

DEFAULT_LIMITS = ProgramLimits(tokens=400_000, turns=100, age=86_400.0)


@frozen(kw_only=True)
class DaemonSettings:
    """What one daemon needs to know to start.

    Attributes
    ----------
    name, domain : str
        The daemon's name and its failure domain.
    http_address, peer_address : str
        Where it listens for callers and for peers, as ``ip:port``.
    log_url, vm_list_url : str
        The platform's log and VM list.
    weight_store_url : str
        The platform's weight store, or empty.
    seeds : list of str
        Peer addresses to try before the VM list or the log tells more.
    peer_keys, operator_keys : list of str
        Shared keys; the first is used, all are accepted. None: no check.
    statsd_address, otlp_url : str
        Where metrics and traces go, or empty.
    log_json : bool
        Whether log lines are JSON.
    log_level : str
        The least level that is logged.
    drain_seconds : float
        How long a graceful stop waits for requests in flight.
    action_shards : int
        How many streams hold non-idempotent actions.
    """

    name: str
    domain: str
    http_address: str
    peer_address: str
    log_url: str
    vm_list_url: str = ""
    weight_store_url: str = ""
    seeds: list[str] = field(factory=list)
    peer_keys: list[str] = field(factory=list)
    operator_keys: list[str] = field(factory=list)
    statsd_address: str = ""
    otlp_url: str = ""
    log_json: bool = False
    log_level: str = "INFO"
    drain_seconds: float = 30.0
    action_shards: int = 1


class ServiceKind(enum.Enum):
    """How the system talks to a service's endpoints."""

    ENGINE = "engine"
    PLAIN = "plain"


@frozen(kw_only=True)
class MethodSettings:
    """What is known of one operation of a plain service.

    Attributes
    ----------
    method : str
        The HTTP method.
    path : str
        The path, or a prefix that ends with ``*``.
    idempotent : bool
        Whether the operation may run again.
    urgent : bool
        Whether someone waits on the phone for it.
    """

    method: str
    path: str
    idempotent: bool = False
    urgent: bool = False


@frozen(kw_only=True)
class ServiceSettings:
    """A group of endpoints that can stand in for each other.

    Attributes
    ----------
    kind : ServiceKind
        Model engines or plain services.
    methods : list of MethodSettings
        For plain services; an operation not listed is not idempotent.
    status_path : str
        Where the service tells what became of an action, with ``{action}``
        in place of its id; empty if it can't.
    """

    kind: ServiceKind
    methods: list[MethodSettings] = field(factory=list)
    status_path: str = ""


@frozen(kw_only=True)
class ModelSettings:
    """A model that callers may name.

    Attributes
    ----------
    service : str
        The service whose engines run it.
    context_tokens : int
        The longest prompt and answer together.
    default_output_tokens : int
        The answer's limit when the caller gives none.
    token_price : float
        Money for one token, 0 where none is charged.
    """

    service: str
    context_tokens: int = 131_072
    default_output_tokens: int = 1_024
    token_price: float = 0.0


@frozen(kw_only=True)
class EndpointSettings:
    """One back end.

    Attributes
    ----------
    service : str
        The service that it belongs to.
    domain : str
        Its failure domain.
    url : str
        Where it listens.
    models : list of str
        For engines, the models that it can run; empty means all of its service.
    batch_limit : int
        For engines, how many calls it runs at once.
    cache_tokens : int
        For engines, the size of its prefix cache.
    prefill_tokens_per_second, decode_tokens_per_second : float
        For engines, the speed for one call in an empty batch.
    kv_tokens_per_second : float
        For engines, the speed at which it exports or imports KV cache; 0 if it
        can't.
    checks_fencing : bool
        Whether it refuses an order with an old fencing number.
    credential_env : str
        The environment variable that holds its credential, or empty.
    leaving : bool
        Whether an operator drains it.
    version : str
        The version of its software, empty if unknown.
    """

    service: str
    domain: str
    url: str
    models: list[str] = field(factory=list)
    batch_limit: int = 16
    cache_tokens: int = 200_000
    prefill_tokens_per_second: float = 8_000.0
    decode_tokens_per_second: float = 40.0
    kv_tokens_per_second: float = 0.0
    checks_fencing: bool = False
    credential_env: str = ""
    leaving: bool = False
    version: str = ""


@frozen(kw_only=True)
class WeightSettings:
    """What the deployment cares for.

    Attributes
    ----------
    latency, wasted_cache : float
        Relative weights of program latency and recomputed prompt tokens.
    far_engine_seconds, far_plain_seconds : float
        What a call to an engine, or a plain service, of another failure domain
        costs, as seconds of latency.
    """

    latency: float = 1.0
    wasted_cache: float = 1.0
    far_engine_seconds: float = 0.0
    far_plain_seconds: float = 0.0


@frozen(kw_only=True)
class LimitSettings:
    """Limits for programs and requests.

    Attributes
    ----------
    program : ProgramLimits
        The most a program may ask for, and what it gets when it asks for none.
    body_bytes : int
        The largest request body.
    call_seconds : float
        The longest that one call may take.
    progress_seconds : float
        The longest silence on a connection before a fresh one is tried.
    lookup_wait_seconds, caller_wait_seconds, background_wait_seconds : float
        The longest predicted wait, by class, before a call is refused.
    retries_per_call : int
        How often one idempotent call is tried again.
    retry_ratio : float
        Retries allowed for each first try, by program and by endpoint.
    """

    program: ProgramLimits = DEFAULT_LIMITS
    body_bytes: int = 8_388_608
    call_seconds: float = 600.0
    progress_seconds: float = 15.0
    lookup_wait_seconds: float = 5.0
    caller_wait_seconds: float = 60.0
    background_wait_seconds: float = 600.0
    retries_per_call: int = 2
    retry_ratio: float = 0.1


@frozen(kw_only=True)
class AliasSettings:
    """A name that stands for an ordered list of models.

    Attributes
    ----------
    models : list of str
        Tried from left to right; each gives at most one try.
    """

    models: list[str]


@frozen(kw_only=True)
class Configuration:
    """What operators publish for a whole deployment.

    Attributes
    ----------
    deployment : str
        The deployment's name.
    domains : list of str
        Its failure domains.
    services, models, endpoints, aliases : dict
        By name.
    weights : WeightSettings
        What the deployment cares for.
    limits : LimitSettings
        Limits for programs and requests.
    quarantined : list of str
        Request digests that are refused.
    released : dict of str to int
        Request digests whose crashes are forgotten, with how often an
        operator has said so.
    """

    deployment: str
    domains: list[str]
    services: dict[str, ServiceSettings] = field(factory=dict)
    models: dict[str, ModelSettings] = field(factory=dict)
    endpoints: dict[str, EndpointSettings] = field(factory=dict)
    aliases: dict[str, AliasSettings] = field(factory=dict)
    weights: WeightSettings = WeightSettings()
    limits: LimitSettings = LimitSettings()
    quarantined: list[str] = field(factory=list)
    released: dict[str, int] = field(factory=dict)
