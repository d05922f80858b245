import itertools
import random

from eelgrasslock.clock import ManualClock
from eelgrasslock.configuration.settings import (
    Configuration,
    EndpointSettings,
    LimitSettings,
    MethodSettings,
    ModelSettings,
    ServiceKind,
    ServiceSettings,
)
from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.scheduling.calls import Call, PeerLoad
from eelgrasslock.scheduling.feature_flags import FeatureFlags
from eelgrasslock.scheduling.scheduler import Scheduler

_ids = itertools.count()


def make_configuration(engines=2, limits=None, **endpoint):
    endpoint = {"batch_limit": 2, "cache_tokens": 100_000} | endpoint
    return Configuration(
        deployment="riga",
        domains=["riga-a"],
        services={
            "hydro-llm": ServiceSettings(kind=ServiceKind.ENGINE),
            "licence-app": ServiceSettings(
                kind=ServiceKind.PLAIN,
                methods=[MethodSettings(method="GET", path="/*", idempotent=True)],
            ),
        },
        models={"hydro": ModelSettings(service="hydro-llm")},
        endpoints={
            f"e{number}": EndpointSettings(
                service="hydro-llm", domain="riga-a", url="http://x", **endpoint
            )
            for number in range(engines)
        }
        | {
            f"app{number}": EndpointSettings(
                service="licence-app", domain="riga-a", url="http://x", batch_limit=2
            )
            for number in range(2)
        },
        limits=limits or LimitSettings(),
    )


def make_scheduler(engines=2, features=None, limits=None, **endpoint):
    clock = ManualClock()
    scheduler = Scheduler(
        clock,
        random.Random(7),
        make_configuration(engines, limits, **endpoint),
        "riga-a",
        features or FeatureFlags(),
    )
    return scheduler, clock


def make_call(program="p", blocks=(), call_class=CallClass.CALLER_WAITING, **values):
    values = {"service": "hydro-llm", "model": "hydro"} | values
    return Call(
        id=f"call-{next(_ids)}",
        program=program,
        call_class=call_class,
        blocks=tuple(blocks),
        prompt_tokens=values.pop("prompt_tokens", max(100, 16 * len(blocks))),
        **values,
    )


def make_plain_call(**values):
    return make_call(service="licence-app", model="", prompt_tokens=0, **values)


def start(scheduler, call):
    scheduler.submit(call)
    return {one.call.id: one for one in scheduler.assign()}.get(call.id)


def peer_load(incarnation="b", in_flight=None, **values):
    return PeerLoad(incarnation=incarnation, in_flight=in_flight or {}, **values)
