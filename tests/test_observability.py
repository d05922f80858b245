import io
import json
import socket

import pytest
from loguru import logger
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from eelgrasslock.configuration.settings import DaemonSettings
from eelgrasslock.telemetry import logs, tracing
from eelgrasslock.telemetry.metrics import Metrics

TRACE = "4bf92f3577b34da6a3ce929d0e0e4736"


def settings(**changes):
    known = {
        "name": "riga-a-1",
        "domain": "riga-a",
        "http_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "log_url": "http://127.0.0.1:9",
    }
    return DaemonSettings(**{**known, **changes})


@pytest.fixture
def _loguru():
    yield
    logger.remove()
    logs._secrets.clear()


@pytest.mark.usefixtures("_loguru")
class TestLogs:
    def test_text_lines_begin_with_their_part(self):
        output = io.StringIO()
        logs.setup(settings(), output)
        logger.bind(part="journal").info("Wrote {} records.", 3)
        assert output.getvalue().rstrip().endswith("INFO journal: Wrote 3 records.")

    def test_json_lines_are_objects(self):
        output = io.StringIO()
        logs.setup(settings(log_json=True), output)
        logger.bind(part="journal").warning('A "quoted" line.')
        line = json.loads(output.getvalue())
        assert (line["part"], line["level"]) == ("journal", "WARNING")
        assert line["message"] == 'A "quoted" line.'
        assert line["daemon"] == "riga-a-1"

    @pytest.mark.parametrize("as_json", [False, True])
    def test_credentials_are_hidden_in_lines_and_errors(self, as_json):
        output = io.StringIO()
        logs.setup(settings(log_json=as_json, peer_keys=["peer-key-1"]), output)
        logs.hide("s3cr3t-value")
        try:
            raise ValueError("sent s3cr3t-value with peer-key-1")
        except ValueError:
            logger.exception("Header was Authorization: Bearer abc.def")
        text = output.getvalue()
        for secret in ("s3cr3t-value", "peer-key-1", "abc.def"):
            assert secret not in text
        assert "Header was" in text


class TestTracing:
    def test_spans_carry_the_callers_trace_on(self):
        exporter = InMemorySpanExporter()
        stop = tracing.setup(settings(), exporter)
        try:
            headers = {"traceparent": f"00-{TRACE}-00f067aa0ba902b7-01"}
            with tracing.span("outer", headers), tracing.span("inner", endpoint="e1"):
                sent = tracing.context_headers()
            with pytest.raises(ValueError), tracing.span("failing"):
                raise ValueError("s3cr3t")
        finally:
            stop()
        spans = {span.name: span for span in exporter.get_finished_spans()}
        assert f"{spans['inner'].context.trace_id:032x}" == TRACE
        assert spans["inner"].parent.span_id == spans["outer"].context.span_id
        assert sent["traceparent"].split("-")[1] == TRACE
        assert spans["inner"].attributes["endpoint"] == "e1"
        assert "s3cr3t" not in spans["failing"].to_json()

    def test_without_an_address_the_context_still_goes_on(self, monkeypatch):
        monkeypatch.setattr(tracing, "_tracer", tracing.trace.NoOpTracer())
        tracing.setup(settings())
        headers = {"traceparent": f"00-{TRACE}-00f067aa0ba902b7-01"}
        with tracing.span("outer", headers):
            assert TRACE in tracing.context_headers()["traceparent"]


class TestMetrics:
    def test_sends_by_statsd(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(5.0)
            address = f"127.0.0.1:{server.getsockname()[1]}"
            metrics = Metrics(settings(statsd_address=address))
            metrics.incr("retried")
            metrics.timing("request", 12.0)
            metrics.gauge("waiting", 3)
            received = [server.recv(200).decode() for _ in range(3)]
        prefix = "eelgrasslock.riga-a.riga-a-1"
        assert received[0] == f"{prefix}.retried:1|c"
        assert received[1].startswith(f"{prefix}.request:12")
        assert received[2] == f"{prefix}.waiting:3|g"

    def test_does_nothing_without_an_address(self):
        Metrics(settings()).incr("retried")
