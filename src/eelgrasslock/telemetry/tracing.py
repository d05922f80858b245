"""Traces: a span for each hop, with the context carried as W3C headers."""

import contextlib
from collections.abc import Callable, Iterator, Mapping

from opentelemetry import propagate, trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter
from opentelemetry.trace import Span, StatusCode

from eelgrasslock.configuration.settings import DaemonSettings

_TRACES_PATH = "/v1/traces"

_tracer = trace.get_tracer("eelgrasslock")


def setup(
    settings: DaemonSettings, exporter: SpanExporter | None = None
) -> Callable[[], None]:
    """Export spans if an address is set; return what ends the export.

    Parameters
    ----------
    settings : DaemonSettings
        Gives the address and the daemon's name and domain.
    exporter : SpanExporter or None
        Takes the place of the OTLP exporter.
    """
    if exporter is None:
        if not settings.otlp_url:
            return _nothing
        exporter = _otlp_exporter(settings.otlp_url)
    resource = Resource.create(
        {
            "service.name": "eelgrasslockd",
            "service.instance.id": settings.name,
            "eelgrasslock.domain": settings.domain,
        }
    )
    provider = TracerProvider(resource=resource)
    provider.add_span_processor(BatchSpanProcessor(exporter))
    global _tracer
    _tracer = provider.get_tracer("eelgrasslock")
    return provider.shutdown


@contextlib.contextmanager
def span(
    name: str,
    headers: Mapping[str, str] | None = None,
    **attributes: str | int | float | bool,
) -> Iterator[Span]:
    """Run a block inside a span.

    An error marks the span by its type alone, since its text may hold what
    traces must not.

    Parameters
    ----------
    name : str
        The hop's name.
    headers : mapping of str to str or None
        The W3C headers that came with the request; None: a part of the span
        that is open.
    **attributes : str, int, float or bool
        What is to be known of the hop.
    """
    context = propagate.extract(dict(headers)) if headers else None
    with _tracer.start_as_current_span(
        name,
        context=context,
        attributes=attributes,
        record_exception=False,
        set_status_on_exception=False,
    ) as opened:
        try:
            yield opened
        except BaseException as error:
            opened.set_status(StatusCode.ERROR, type(error).__name__)
            raise


def context_headers() -> dict[str, str]:
    """Return the W3C headers of the span that is open."""
    headers: dict[str, str] = {}
    propagate.inject(headers)
    return headers


def _otlp_exporter(url: str) -> SpanExporter:
    # Imported only where it is used, since it takes five megabytes.
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter

    return OTLPSpanExporter(endpoint=_traces_url(url))


def _traces_url(url: str) -> str:
    if url.endswith(_TRACES_PATH):
        return url
    return url.rstrip("/") + _TRACES_PATH


def _nothing() -> None:
    pass
