import pytest

from eelgrasslock.configuration.settings import LimitSettings
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.scheduling.calls import CallOutcome
from eelgrasslock.scheduling.feature_flags import FeatureFlags
from scheduler_factory import make_call, make_scheduler, start

LIMITS = LimitSettings(
    lookup_wait_seconds=1.0, caller_wait_seconds=20.0, background_wait_seconds=40.0
)


def fill(scheduler, waiting):
    for number in range(2 + waiting):
        start(scheduler, make_call(f"fill{number}"))
    pool = scheduler.endpoint_table.pools["hydro-llm", "hydro"]
    pool.service_seconds = 10.0


class TestAdmission:
    @pytest.mark.parametrize(
        ("call_class", "waiting", "refused"),
        [
            (CallClass.CALLER_WAITING, 1, False),
            (CallClass.CALLER_WAITING, 3, True),
            (CallClass.BACKGROUND, 3, False),
            (CallClass.LOOKUP, 3, False),
        ],
    )
    def test_refuses_at_once_what_would_wait_too_long(
        self, call_class, waiting, refused
    ):
        scheduler, _ = make_scheduler(
            engines=1, limits=LIMITS, features=FeatureFlags(admission=False)
        )
        fill(scheduler, waiting)
        scheduler.admission.features = FeatureFlags()
        call = make_call("new", call_class=call_class)
        if not refused:
            scheduler.submit(call)
            return
        with pytest.raises(Refusal) as caught:
            scheduler.submit(call)
        assert caught.value.ran is Ran.NO
        assert caught.value.status == 429
        assert caught.value.retry_after >= 1.0

    def test_programs_under_way_are_refused_later_than_new_ones(self):
        scheduler, _ = make_scheduler(
            engines=1, limits=LIMITS, features=FeatureFlags(admission=False)
        )
        fill(scheduler, 3)
        scheduler.admission.features = FeatureFlags()
        scheduler.submit(make_call("fill0"))
        with pytest.raises(Refusal):
            scheduler.submit(make_call("new"))

    @pytest.mark.parametrize(("seconds", "refused"), [(1.0, True), (60.0, False)])
    def test_refuses_what_would_miss_its_deadline(self, seconds, refused):
        scheduler, clock = make_scheduler(engines=1)
        call = make_call("p", deadline=clock.monotonic() + seconds, max_tokens=400)
        if refused:
            with pytest.raises(Refusal, match="deadline"):
                scheduler.submit(call)
        else:
            assert start(scheduler, call) is not None

    def test_the_queue_is_bounded(self, monkeypatch):
        monkeypatch.setattr("eelgrasslock.scheduling.admission.MAX_WAITING_CALLS", 3)
        scheduler, _ = make_scheduler(engines=1)
        for number in range(5):
            start(scheduler, make_call(f"p{number}"))
        with pytest.raises(Refusal) as caught:
            scheduler.submit(make_call("one-more"))
        assert caught.value.code == "queue_full"

    @pytest.mark.parametrize("deadline", [None, 30.0])
    def test_waiting_calls_are_given_up_in_time(self, deadline):
        scheduler, clock = make_scheduler(engines=1, limits=LIMITS)
        fill(scheduler, 0)
        end = None if deadline is None else clock.monotonic() + deadline
        call = make_call("p", deadline=end, max_tokens=10)
        scheduler.submit(call)
        assert scheduler.expire() == []
        clock.advance(deadline or 40.0)
        [expired] = scheduler.expire()
        assert expired.call is call
        assert expired.refusal.ran is Ran.NO
        assert scheduler.waiting == {}

    def test_unknown_services_are_refused(self):
        scheduler, _ = make_scheduler()
        with pytest.raises(Refusal) as caught:
            scheduler.submit(make_call(model="nobody"))
        assert caught.value.status == 503

    def test_an_endpoint_that_asks_for_time_is_left_alone(self):
        scheduler, clock = make_scheduler(engines=1)
        call = make_call()
        start(scheduler, call)
        scheduler.finish(call.id, CallOutcome.REFUSED, retry_after=7.0)
        assert start(scheduler, make_call("q")) is None
        clock.advance(7.1)
        assert len(scheduler.assign()) == 1

    def test_a_pool_that_is_parked_for_long_refuses_with_the_time(self):
        scheduler, _ = make_scheduler(engines=1, limits=LIMITS)
        call = make_call()
        start(scheduler, call)
        scheduler.finish(call.id, CallOutcome.REFUSED, retry_after=300.0)
        with pytest.raises(Refusal) as caught:
            scheduler.submit(make_call("q"))
        assert caught.value.retry_after == pytest.approx(300.0)
