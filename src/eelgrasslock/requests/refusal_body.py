"""The one shape that every refusal has on its way to a caller."""

import json
import math

from eelgrasslock.exceptions import Refusal
from eelgrasslock.requests.exchange import RAN_HEADER


def refusal_body(refusal: Refusal) -> bytes:
    """Return a refusal as the JSON body that OpenAI clients can show."""
    error = {
        "message": refusal.sentence,
        "type": refusal.code,
        "code": refusal.code,
        "param": None,
        "ran": refusal.ran.value,
        "retry_after": refusal.retry_after,
    }
    return json.dumps({"error": error}).encode()


def refusal_headers(refusal: Refusal) -> dict[str, str]:
    """Return the HTTP headers that go with a refusal's body."""
    headers = {
        "Content-Type": "application/json",
        RAN_HEADER: refusal.ran.value,
    }
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after)))
    return headers
