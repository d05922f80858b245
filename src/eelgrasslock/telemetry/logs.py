"""Log set-up: one line a message, with a fixed prefix for each part."""

import json
import logging
import re
import sys
from typing import TYPE_CHECKING, TextIO

from loguru import logger

from eelgrasslock.telemetry.log_sink import LogSink

if TYPE_CHECKING:
    from loguru import Message

    from eelgrasslock.configuration.settings import DaemonSettings

_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {extra[part]}: {message}"
_HIDDEN = "<hidden>"
_BEARER = re.compile(r"(?i)\b(bearer\s+)[^\s'\",}]+")
_SHORTEST_SECRET = 4
_URGENT_LEVEL = 30

_secrets: set[str] = set()


def hide(secret: str) -> None:
    """Keep a text, such as a credential, out of all log lines."""
    if len(secret) >= _SHORTEST_SECRET:
        _secrets.add(secret)


def redact(text: str) -> str:
    """Return a text without credentials."""
    for secret in _secrets:
        text = text.replace(secret, _HIDDEN)
    return _BEARER.sub(rf"\g<1>{_HIDDEN}", text)


def setup(settings: "DaemonSettings", output: TextIO | None = None) -> None:
    """Send log lines to standard error, as text or as JSON.

    Parameters
    ----------
    settings : DaemonSettings
        Gives the level, the shape and the keys to hide.
    output : file or None
        Where lines go instead of standard error.
    """
    for key in (*settings.peer_keys, *settings.operator_keys):
        hide(key)
    sink = output or sys.stderr

    def write_text(message: "Message") -> None:
        sink.write(redact(str(message)))

    def write_json(message: "Message") -> None:
        sink.write(redact(_json_line(message)))

    logger.remove()
    logger.configure(extra={"part": "daemon", "daemon": settings.name})
    logger.add(
        write_json if settings.log_json else write_text,
        format=_FORMAT,
        level=settings.log_level,
        backtrace=False,
        diagnose=False,
    )


def setup_json(name: str, level: str, output: TextIO | None = None) -> LogSink:
    """Send log lines to standard output, one JSON object each.

    What is bound to a line besides its part stands in it as fields of its own.

    Parameters
    ----------
    name : str
        The daemon's name.
    level : str
        The least level that is logged.
    output : file or None
        Where lines go instead of standard output.
    """
    sink = LogSink(output or sys.stdout)

    def write(message: "Message") -> None:
        is_urgent = message.record["level"].no >= _URGENT_LEVEL
        sink.put(redact(_json_line(message)), is_urgent)

    logger.remove()
    logger.configure(extra={"part": "daemon", "daemon": name})
    logger.add(write, format="{message}", level=level, backtrace=False, diagnose=False)
    logging.basicConfig(handlers=[_LoguruHandler()], level=logging.WARNING, force=True)
    return sink


class _LoguruHandler(logging.Handler):
    """Hands on what libraries log by the standard module."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record as a line of the part `library`."""
        error = record.exc_info[1] if record.exc_info else None
        log = logger.bind(part="library", library=record.name).opt(exception=error)
        log.log(record.levelname, "{}", record.getMessage())


def _json_line(message: "Message") -> str:
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "part": record["extra"].get("part", ""),
        "daemon": record["extra"].get("daemon", ""),
        "message": record["message"],
    }
    line |= {key: value for key, value in record["extra"].items() if key not in line}
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    return json.dumps(line) + "\n"
