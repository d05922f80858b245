"""What a model call used."""

from attrs import frozen


@frozen(kw_only=True)
class Usage:
    """What a call used.

    Attributes
    ----------
    prompt_tokens, cached_tokens, completion_tokens : int
        As the engine reported.
    """

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
