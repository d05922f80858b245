"""Calls of plain services that the dispatch filter has run."""

import json

import pytest

from dispatch_harness import DispatchHarness, dead_url, plain_exchange
from eelgrasslock.configuration.settings import (
    ServiceKind,
)
from eelgrasslock.endpoints.service_client import clean_headers
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.scheduling.calls import CallOutcome
from standin_servers import StandinServers


@pytest.fixture
async def servers():
    async with StandinServers() as started:
        yield started


class TestPlainCall:
    async def test_a_single_call_is_forgotten_and_a_programs_is_not(self, servers):
        service = await servers.service()
        exchanges = [plain_exchange("GET", "/licences/7", {}) for _ in range(2)]
        exchanges[1].program = "a~d~1"
        async with DispatchHarness(
            {"a1": service.url}, kind=ServiceKind.PLAIN
        ) as harness:
            for exchange in exchanges:
                await harness.filter.handle(exchange)
            single, _ = harness.scheduler.calls
            assert harness.scheduler.ended == [single.program]

    async def test_passes_a_posting_through_once(self, servers):
        service = await servers.service()
        headers = {
            "idempotency-key": "fee-1",
            "eelgrass-secret": "hidden",
            "connection": "x-hop",
            "x-hop": "1",
            "content-type": "application/json",
        }
        exchange = plain_exchange("POST", "/fees", headers)
        async with DispatchHarness(
            {"a1": service.url}, kind=ServiceKind.PLAIN
        ) as harness:
            await harness.filter.handle(exchange)
        (posting,) = service.standin.postings
        names = {name.lower() for name in posting.headers}
        assert posting.action == "fee-1"
        assert not names & {"eelgrass-secret", "x-hop", "connection: x-hop"}
        assert exchange.responder.status == 201
        assert json.loads(exchange.responder.body)["number"] == 1
        assert exchange.sent is True

    @pytest.mark.parametrize(
        ("faults", "ran", "sent", "postings"),
        [
            ({"lose_answers": 1}, Ran.UNKNOWN, True, 1),
            ({"lose_requests": 1}, Ran.UNKNOWN, True, 0),
            ({"fail": 1}, Ran.UNKNOWN, True, 1),
            ({"outage": True}, Ran.UNKNOWN, True, 0),
            ({"refuse": 1}, Ran.NO, True, 0),
        ],
    )
    async def test_never_sends_a_posting_twice(
        self, servers, faults, ran, sent, postings
    ):
        service = await servers.service()
        for name, value in faults.items():
            setattr(service.faults, name, value)
        exchange = plain_exchange("POST", "/fees")
        urls = {"a1": service.url, "a2": service.url}
        async with DispatchHarness(urls, kind=ServiceKind.PLAIN) as harness:
            with pytest.raises(Refusal) as caught:
                await harness.filter.handle(exchange)
        assert caught.value.ran is ran
        assert exchange.sent is sent
        assert len(service.standin.postings) == postings
        assert len(harness.scheduler.ends) == 1

    async def test_tries_elsewhere_where_nothing_was_sent(self, servers):
        service = await servers.service()
        exchange = plain_exchange("POST", "/fees")
        urls = {"a1": dead_url(), "a2": service.url}
        async with DispatchHarness(urls, kind=ServiceKind.PLAIN) as harness:
            await harness.filter.handle(exchange)
        assert harness.ends() == [CallOutcome.NOT_SENT, CallOutcome.DONE]
        assert len(service.standin.postings) == 1

    async def test_nothing_sent_is_not_run(self):
        exchange = plain_exchange("POST", "/fees")
        async with DispatchHarness(
            {"a1": dead_url()}, kind=ServiceKind.PLAIN
        ) as harness:
            with pytest.raises(Refusal) as caught:
                await harness.filter.handle(exchange)
        assert (caught.value.ran, exchange.sent) == (Ran.NO, False)

    @pytest.mark.parametrize(
        ("method", "path", "faults"),
        [
            ("GET", "/status/7", {"lose_answers": 1}),
            ("GET", "/status/7", {"fail": 1}),
            ("PUT", "/drafts/7", {"refuse": 1}),
        ],
    )
    async def test_tries_an_idempotent_request_again(
        self, servers, method, path, faults
    ):
        service = await servers.service()
        for name, value in faults.items():
            setattr(service.faults, name, value)
        exchange = plain_exchange(method, path)
        urls = {"a1": service.url, "a2": service.url}
        async with DispatchHarness(urls, kind=ServiceKind.PLAIN) as harness:
            await harness.filter.handle(exchange)
        assert exchange.responder.status in (200, 201)
        assert len(harness.ends()) == 2

    async def test_a_put_is_not_repeated_by_the_library(self, servers):
        service = await servers.service()
        async with DispatchHarness(
            {"a1": service.url}, kind=ServiceKind.PLAIN
        ) as harness:
            await harness.filter.handle(plain_exchange("PUT", "/licences/1"))
            service.faults.lose_answers = 1
            with pytest.raises(Refusal):
                await harness.filter.handle(plain_exchange("PUT", "/licences/2"))
        assert [one.path for one in service.standin.postings] == [
            "/licences/1",
            "/licences/2",
        ]


class TestCleanHeaders:
    def test_drops_what_belongs_to_one_connection(self):
        headers = {
            "Connection": "keep-alive, X-Token",
            "X-Token": "1",
            "Transfer-Encoding": "chunked",
            "Eelgrass-Turn": "3",
            "Accept": "text/plain",
        }
        assert clean_headers(headers) == {"Accept": "text/plain"}
