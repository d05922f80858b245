"""HTTP requests and response heads as they are sent and received."""

import enum

from attrs import frozen

Header = tuple[str, str]


class Framing(enum.Enum):
    """How the end of a response's body is marked.

    Attributes
    ----------
    LENGTH
        By a length in the head, or the body is always empty.
    CHUNKED
        By a last chunk.
    CLOSE
        By the end of the connection.
    """

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


@frozen(kw_only=True)
class OutgoingRequest:
    """An encoded request for an endpoint or the store.

    Attributes
    ----------
    method : str
        The HTTP method.
    target : str
        Path and query, sent unchanged.
    headers : tuple of (str, str)
        All headers except those that frame the body.
    body : bytes
        The complete body.
    expected_response_id : str
        The id that the response must echo in `response_id_header`; empty for no
        check.
    response_id_header : str
        The name of that header, in lower case.
    """

    method: str
    target: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    expected_response_id: str = ""
    response_id_header: str = ""

    def encode(self) -> bytes:
        """Return the bytes to send.

        Raises
        ------
        ValueError
            If the request line or a header contains a line break.
        """
        return self.encode_head() + self.body

    def encode_head(self) -> bytes:
        """Return the bytes before the body.

        Raises
        ------
        ValueError
            If the request line or a header contains a line break.
        """
        lines = [f"{self.method} {self.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        if self.body or self.method not in _METHODS_WITHOUT_BODY:
            lines.append(f"Content-Length: {len(self.body)}")
        if any("\r" in line or "\n" in line for line in lines):
            raise ValueError("The request line or a header contains a line break.")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("utf-8", "surrogateescape")


@frozen(kw_only=True)
class ResponseHead:
    """The status and headers of a response.

    Attributes
    ----------
    status : int
        The HTTP status.
    headers : tuple of (str, str)
        The headers in the order received.
    """

    status: int
    headers: tuple[Header, ...]

    @property
    def framing(self) -> Framing:
        """How the end of the body is marked."""
        if self.status in _STATUSES_WITHOUT_BODY:
            return Framing.LENGTH
        if "chunked" in self.header("transfer-encoding").lower():
            return Framing.CHUNKED
        return Framing.LENGTH if self.header("content-length") else Framing.CLOSE

    def header(self, name: str) -> str:
        """Return the first value of a header, whose name is given in lower case.

        It is empty if the header is missing.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return ""


_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})
