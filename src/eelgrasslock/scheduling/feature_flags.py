"""Switches that turn single decisions off, so that each can be measured."""

from attrs import frozen


@frozen(kw_only=True)
class FeatureFlags:
    """Which decisions the scheduler takes; all are on in service.

    Attributes
    ----------
    cache : bool
        Placement looks at what endpoints hold in their prefix caches.
    correction : bool
        Lagging load reports are corrected by what was sent since.
    slots : bool
        Calls are held back while an endpoint is at its batch limit.
    program_order : bool
        Waiting calls are ordered by program and class, not by arrival.
    admission : bool
        Calls are refused when the predicted wait is too long.
    migration : bool
        A prefix may be imported from another engine.
    memory : bool
        Placement avoids engines whose cache is full of live programs.
    learning : bool
        The speed of endpoints is learnt from finished calls.
    breakers : bool
        Failing endpoints are left out for a time.
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
