"""What single texts in the settings must look like.

Each test returns what is wrong with the text, or an empty string.
"""

import ipaddress
import re
import urllib.parse
from collections.abc import Callable

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")
_PLAIN_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9.-]{0,63}")
_ENVIRONMENT_NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")
_MIN_KEY_LENGTH = 16


def address(text: str) -> str:
    """Test for ``ip:port``."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return "is not ip:port"
    if not port.isdecimal() or not 0 < int(port) < 65536:
        return "is not ip:port"
    return ""


def url(text: str) -> str:
    """Test for an HTTP URL whose host is an IP address."""
    try:
        parts = urllib.parse.urlsplit(text)
        good = parts.scheme in ("http", "https") and parts.port != 0
    except ValueError:
        return "is not an http:// URL with an IP address"
    if not good or not parts.hostname:
        return "is not an http:// URL with an IP address"
    try:
        ipaddress.ip_address(parts.hostname)
    except ValueError:
        return "names its host by something other than an IP address"
    if parts.username or parts.password:
        return "holds a credential; name it by credential_env"
    return ""


def optional(test: Callable[[str], str]) -> Callable[[str], str]:
    """Return a test that also takes an empty text."""
    return lambda text: test(text) if text else ""


def name(text: str) -> str:
    """Test for the name of a service, model, endpoint or alias."""
    return "" if _NAME.fullmatch(text) else "is not a name"


def plain_name(text: str) -> str:
    """Test for the name of a daemon, deployment or failure domain."""
    if _PLAIN_NAME.fullmatch(text):
        return ""
    return "is not a name of letters, digits, dots and hyphens"


def absolute_path(text: str) -> str:
    """Test for a path that starts with a slash."""
    return "" if text.startswith("/") else "does not start with a slash"


def status_path(text: str) -> str:
    """Test for a path with a place for the action's id."""
    if not text.startswith("/") or "{action}" not in text:
        return "is not a path with {action} in it"
    return ""


def environment_name(text: str) -> str:
    """Test for the name of an environment variable."""
    if _ENVIRONMENT_NAME.fullmatch(text):
        return ""
    return "is not the name of an environment variable"


def one_of(known: tuple[str, ...]) -> Callable[[str], str]:
    """Return a test for one of some known words."""
    return lambda text: "" if text in known else f"is none of {', '.join(known)}"


def shared_key(text: str) -> str:
    """Test a shared key."""
    if len(text) < _MIN_KEY_LENGTH:
        return f"is shorter than {_MIN_KEY_LENGTH} characters"
    return ""
