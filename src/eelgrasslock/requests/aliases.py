"""Resolves the name of a model or alias to the models to try, in order."""

from eelgrasslock.configuration.settings import Configuration

MAX_CHAIN = 5


def resolve_models(configuration: Configuration, name: str) -> list[str]:
    """Return the models that a name stands for, in the order to try them.

    Each position of an alias gives at most one model; a position that names
    an alias gives the first model of that alias. A position that resolves to
    nothing, or to a model that an earlier position gave, is dropped.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    name : str
        What the caller asked for.

    Returns
    -------
    list of str
        Empty if nothing is known under the name.
    """
    if name in configuration.models:
        return [name]
    alias = configuration.aliases.get(name)
    if alias is None:
        return []
    found: list[str] = []
    for position in alias.models[:MAX_CHAIN]:
        model = _first_model(configuration, position, {name})
        if model and model not in found:
            found.append(model)
    return found


def _first_model(configuration: Configuration, name: str, seen: set[str]) -> str:
    if name in configuration.models:
        return name
    alias = configuration.aliases.get(name)
    if alias is None or name in seen:
        return ""
    for position in alias.models:
        model = _first_model(configuration, position, seen | {name})
        if model:
            return model
    return ""
