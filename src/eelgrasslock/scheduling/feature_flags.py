"""Feature flags that turn off parts of scheduling, to measure the effect of each."""

from attrs import frozen


@frozen(kw_only=True)
class FeatureFlags:
    """The features of the scheduler; all are on by default.

    Attributes
    ----------
    cache : bool
        Placement takes into account what the prefix caches hold.
    correction : bool
        Delayed load reports are corrected by the calls sent since.
    slots : bool
        Calls wait while an endpoint is at its batch limit.
    program_order : bool
        Waiting calls are ordered by program and class instead of arrival.
    admission : bool
        Calls are refused if the predicted wait is too long.
    migration : bool
        Prefixes may be imported from other engines.
    memory : bool
        Placement avoids engines whose caches are full of live programs.
    learning : bool
        The speed of endpoints is estimated from finished calls.
    breakers : bool
        Failing endpoints are excluded for a time.
    """

    cache: bool = True
    correction: bool = True
    slots: bool = True
    program_order: bool = True
    admission: bool = True
    migration: bool = True
    memory: bool = True
    learning: bool = True
    breakers: bool = True
