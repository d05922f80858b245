"""Refusals of requests that reach no route, or a daemon that stops."""

from eelgrasslock.exceptions import Refusal

NO_CONFIGURATION_RETRY_SECONDS = 0.5
STOPPING_RETRY_SECONDS = 0.05


def no_configuration() -> Refusal:
    """Return the refusal of a daemon that knows no configuration yet."""
    sentence = "This daemon has no configuration yet."
    return Refusal(
        "no_configuration", sentence, 503, retry_after=NO_CONFIGURATION_RETRY_SECONDS
    )


def no_route() -> Refusal:
    """Return the refusal of a request that no route serves."""
    return Refusal("no_route", "No route serves this host and path.", 404)


def stopping() -> Refusal:
    """Return the refusal of a daemon that stops."""
    sentence = "This daemon is stopping; another one takes the request."
    return Refusal("daemon_leaving", sentence, 503, retry_after=STOPPING_RETRY_SECONDS)
