import json

import pytest

from eelgrasslock.actions.action_records import ActionResult
from eelgrasslock.actions.action_status import ActionStatusClient
from eelgrasslock.configuration.settings import (
    Configuration,
    EndpointSettings,
    ServiceKind,
    ServiceSettings,
)
from eelgrasslock.endpoints.endpoint_failure import EndpointFailure
from eelgrasslock.endpoints.service_client import PlainAnswer
from eelgrasslock.exceptions import EndpointError, Ran
from eelgrasslock.scheduling.calls import CallOutcome

LOST = EndpointFailure("lost", CallOutcome.BROKEN, Ran.UNKNOWN)


def configuration(status_path="/actions/{action}"):
    desk = ServiceSettings(kind=ServiceKind.PLAIN, status_path=status_path)
    urls = ("http://one", "http://two")
    endpoints = {
        url: EndpointSettings(service="desk", domain="a", url=url) for url in urls
    }
    return Configuration(
        deployment="t", domains=["a"], services={"desk": desk}, endpoints=endpoints
    )


class FakeServices:
    def __init__(self, *answers):
        self.answers = list(answers)
        self.paths = []

    async def send(self, url, request, seconds, on_sending):
        self.paths.append(request.path)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        status, body = answer
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        return PlainAnswer(status=status, headers={}, body=data)


class TestActionStatus:
    @pytest.mark.parametrize(
        ("answers", "result"),
        [
            ([(200, {"ran": True})], ActionResult.DONE),
            ([LOST, (200, {"ran": True})], ActionResult.DONE),
            ([(200, {"ran": False})], ActionResult.UNKNOWN),
            ([(404, {"ran": False})], ActionResult.UNKNOWN),
            ([(200, {"ran": "yes"})], ActionResult.UNKNOWN),
            ([(200, b"<html>")], ActionResult.UNKNOWN),
            ([(200, [])], ActionResult.UNKNOWN),
            ([(503, {})], ActionResult.UNKNOWN),
        ],
    )
    async def test_only_a_yes_is_taken(self, answers, result):
        services = FakeServices(*answers)
        answer = await ActionStatusClient(services, configuration).query(
            "desk", "fee/7"
        )
        assert answer.result is result
        assert services.paths[-1] == "/actions/fee%2F7"

    async def test_no_endpoint_answers(self):
        status = ActionStatusClient(FakeServices(LOST, LOST), configuration)
        with pytest.raises(EndpointError):
            await status.query("desk", "fee")

    @pytest.mark.parametrize("known", [lambda: None, lambda: configuration("")])
    async def test_nothing_is_sent_without_a_status_path(self, known):
        services = FakeServices()
        answer = await ActionStatusClient(services, known).query("desk", "fee")
        assert answer.result is ActionResult.UNKNOWN
        assert not services.paths
