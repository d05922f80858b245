"""How the operators' interface answers errors."""

from typing import Any

from aiohttp import web
from loguru import logger

from eelgrasslock.configuration.publish import PublishUnresolved, VersionConflict
from eelgrasslock.exceptions import (
    EelgrassError,
    LogError,
    Refusal,
    SettingsError,
)
from eelgrasslock.operators.operator_views import ErrorView, FindingView

log = logger.bind(part="operators")


class OperatorError(EelgrassError):
    """A request of an operator that is refused.

    Parameters
    ----------
    status : int
        The HTTP status.
    view : ErrorView
        The answer.
    """

    def __init__(self, status: int, view: ErrorView) -> None:
        super().__init__(view.sentence)
        self.status = status
        self.view = view


def error_view(code: str, sentence: str) -> ErrorView:
    """Return an error with its code and sentence."""
    return ErrorView(code=code, sentence=sentence)


def describe(error: Exception) -> tuple[int, ErrorView]:
    """Return the HTTP status and the answer for an error."""
    if isinstance(error, OperatorError):
        return error.status, error.view
    if isinstance(error, Refusal):
        return error.status, error_view(error.code, error.sentence)
    if isinstance(error, VersionConflict):
        view = error_view("conflict", str(error))
        view.version, view.author = error.version, error.author
        return 409, view
    if isinstance(error, SettingsError):
        view = error_view("findings", error.message)
        view.findings = [_finding_view(one) for one in error.exceptions]
        return 422, view
    if isinstance(error, PublishUnresolved):
        sentence = f"{error} Repeating the same order is safe."
        return 504, error_view("unresolved", sentence)
    if isinstance(error, LogError):
        return 503, error_view("log_unavailable", "The log can't be reached; not done.")
    if isinstance(error, web.HTTPRequestEntityTooLarge):
        return 413, error_view("too_large", "The request is too large.")
    log.opt(exception=error).error("A request of an operator met a fault.")
    return 500, error_view("internal", "The daemon met a fault; see its log.")


def _finding_view(finding: Any) -> FindingView:
    return FindingView(
        message=finding.message,
        file=finding.file,
        line=finding.line,
        path=finding.path,
    )
