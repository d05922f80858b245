import pytest

from eelgrasslock.configuration.settings import (
    MethodSettings,
    ServiceKind,
    ServiceSettings,
)
from eelgrasslock.requests.plain_methods import is_idempotent

DESK = ServiceSettings(
    kind=ServiceKind.PLAIN,
    methods=[
        MethodSettings(method="GET", path="/licences/*", idempotent=True),
        MethodSettings(method="POST", path="/search/*", idempotent=True),
        MethodSettings(method="POST", path="/search/export"),
    ],
)


class TestIsIdempotent:
    @pytest.mark.parametrize(
        ("method", "path", "expected"),
        [
            ("GET", "/licences/7", True),
            ("get", "/licences/7", True),
            ("POST", "/licences/7", False),
            ("POST", "/search/wells", True),
            ("POST", "/search/export", False),
            ("POST", "/fees", False),
        ],
    )
    def test_only_where_no_entry_says_otherwise(self, method, path, expected):
        assert is_idempotent(DESK, method, path) is expected
