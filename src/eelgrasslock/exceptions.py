"""The errors of the package, under one root."""

import enum


class Ran(enum.Enum):
    """Whether the request that an error answers has run."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class EelgrassError(Exception):
    """The root of all errors that this package raises."""


class LogError(EelgrassError):
    """The platform's log did not do what was asked."""


class LogUnavailable(LogError):
    """The log could not be reached or refused the call; nothing was appended."""


class AppendUnresolved(LogError):
    """The answer to an append was lost; it may have taken effect."""


class RecordsExpired(LogError):
    """The offset asked for is older than the log's retention.

    Parameters
    ----------
    first : int
        The oldest offset that the log still holds.
    """

    def __init__(self, first: int) -> None:
        super().__init__(f"The log holds nothing before offset {first}.")
        self.first = first


class RecordError(EelgrassError):
    """A log record can't be read: garbage, or a newer version."""


class PeerUnavailable(EelgrassError):
    """A peer daemon could not be reached, or did not answer in time.

    Parameters
    ----------
    message : str
        What was tried.
    ran : Ran
        Whether the forwarded request may have run.
    """

    def __init__(self, message: str, ran: Ran = Ran.NO) -> None:
        super().__init__(message)
        self.ran = ran


class PeerCallUnsupported(PeerUnavailable):
    """A peer daemon is of an older build that does not know a call."""


class EndpointError(EelgrassError):
    """A call to an endpoint failed.

    Parameters
    ----------
    message : str
        What happened, for the log only; never shown to a caller.
    ran : Ran
        Whether the endpoint may have run the request.
    status : int or None
        The endpoint's HTTP status, if it gave one.
    retry_after : float or None
        Seconds until the endpoint asks to be tried again.
    silent : bool
        Whether the connection made no progress until its deadline.
    """

    def __init__(
        self,
        message: str,
        ran: Ran,
        status: int | None = None,
        retry_after: float | None = None,
        silent: bool = False,
    ) -> None:
        super().__init__(message)
        self.ran = ran
        self.status = status
        self.retry_after = retry_after
        self.silent = silent


class Finding(EelgrassError):
    """One thing wrong with the settings, with its place.

    Parameters
    ----------
    message : str
        What is wrong, in one sentence.
    file : str
        The settings file's name.
    line : int
        The line in that file, counted from 1.
    path : str
        The key path, its parts joined by dots.
    """

    def __init__(self, message: str, file: str = "", line: int = 0, path: str = ""):
        super().__init__(f"{file}:{line}: {path}: {message}")
        self.message = message
        self.file = file
        self.line = line
        self.path = path


class SettingsError(ExceptionGroup):
    """All findings of one check of the settings."""

    def derive(self, excs):
        """Return a group of the same type over other findings."""
        return SettingsError(self.message, excs)


class Refusal(EelgrassError):
    """A request's final answer when it is not served.

    Parameters
    ----------
    code : str
        A stable word for programs, such as ``turn_mismatch``.
    sentence : str
        One sentence for people; holds no upstream text.
    status : int
        The HTTP status.
    ran : Ran
        Whether the request has run.
    retry_after : float or None
        Seconds after which coming back helps, if it does.
    """

    def __init__(
        self,
        code: str,
        sentence: str,
        status: int,
        ran: Ran = Ran.NO,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(sentence)
        self.code = code
        self.sentence = sentence
        self.status = status
        self.ran = ran
        self.retry_after = retry_after
