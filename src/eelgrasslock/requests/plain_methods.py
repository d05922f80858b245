"""What the settings say of one operation of a plain service."""

from eelgrasslock.configuration.settings import MethodSettings, ServiceSettings

_ANY_REST = "*"


def find_methods(
    settings: ServiceSettings, method: str, path: str
) -> list[MethodSettings]:
    """Return the entries that cover an operation; none: nothing is known."""
    return [one for one in settings.methods if _covers(one, method, path)]


def is_idempotent(settings: ServiceSettings, method: str, path: str) -> bool:
    """Return whether an operation may run again.

    It may if an entry covers it and none of those that do says otherwise.
    """
    found = find_methods(settings, method, path)
    return bool(found) and all(one.idempotent for one in found)


def is_urgent(settings: ServiceSettings, method: str, path: str) -> bool:
    """Return whether someone waits on the phone for an operation."""
    return any(one.urgent for one in find_methods(settings, method, path))


def _covers(settings: MethodSettings, method: str, path: str) -> bool:
    if settings.method.upper() != method.upper():
        return False
    if settings.path.endswith(_ANY_REST):
        return path.startswith(settings.path.removesuffix(_ANY_REST))
    return path == settings.path
