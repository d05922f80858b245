"""HTTP messages as the connections see them."""

from attrs import frozen

Header = tuple[str, str]


@frozen(kw_only=True)
class OutgoingRequest:
    """A request that is ready to be sent.

    Attributes
    ----------
    method : str
        The HTTP method.
    target : str
        Path and query, sent as they are.
    headers : tuple of (str, str)
        All headers but those that frame the body.
    body : bytes
        The whole body.
    expected_response_id : str
        What the answer must echo in `response_id_header`; empty if it need not.
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
            If a line holds a line break.
        """
        lines = [f"{self.method} {self.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        if self.body or self.method not in _METHODS_WITHOUT_BODY:
            lines.append(f"Content-Length: {len(self.body)}")
        if any("\r" in line or "\n" in line for line in lines):
            raise ValueError("A header line holds a line break.")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("utf-8", "surrogateescape") + self.body


@frozen(kw_only=True)
class ResponseHead:
    """The status and headers of an answer.

    Attributes
    ----------
    status : int
        The HTTP status.
    headers : tuple of (str, str)
        As they came, in their order.
    """

    status: int
    headers: tuple[Header, ...]

    def header(self, name: str) -> str:
        """Return the first header of a lower-case name, or an empty string."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return ""


_METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})
