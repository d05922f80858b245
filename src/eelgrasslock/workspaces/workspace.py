"""The workspaces of a configuration, and their API keys."""

from collections.abc import Iterable

from attrs import field, frozen

# Ids of callers are printable, so that no scoped id can be written by one.
_SCOPE_SEPARATOR = "\x1f"


@frozen(kw_only=True)
class Workspace:
    """A customer of the operators, with keys for its callers.

    Attributes
    ----------
    name : str
        The name, as endpoints are told it.
    api_keys : frozenset of str
        The keys of its callers.
    priority : int or None
        Goes before the priority of routes; 0 is the highest. None if it has none.
    requests_per_second : float
        The requests that it may send to all daemons together; 0 for no limit.
    burst : float
        The requests that it may send at once beyond that rate.
    """

    name: str
    api_keys: frozenset[str] = field(default=frozenset(), repr=False)
    priority: int | None = None
    requests_per_second: float = 0.0
    burst: float = 0.0


class WorkspaceDirectory:
    """Finds the workspace of a key.

    Parameters
    ----------
    workspaces : iterable of Workspace
        The workspaces of one configuration; without any, requests need no key.

    Attributes
    ----------
    by_name : dict of str to Workspace
        The workspaces by name.
    top_priority : int
        The highest priority of any workspace.
    """

    def __init__(self, workspaces: Iterable[Workspace] = ()) -> None:
        self.by_name = {one.name: one for one in workspaces}
        self._by_key = {
            key: one for one in self.by_name.values() for key in one.api_keys
        }
        priorities = [one.priority for one in self.by_name.values()]
        self.top_priority = min((one or 0 for one in priorities), default=0)

    @property
    def needs_keys(self) -> bool:
        """Whether requests need a key."""
        return bool(self.by_name)

    def has_lower_priority(self, name: str) -> bool:
        """Return whether another workspace has priority over one; none counts as 0."""
        workspace = self.by_name.get(name)
        return workspace is not None and (workspace.priority or 0) > self.top_priority

    def find(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key, None if none does."""
        return self._by_key.get(key) if key else None


def scoped_id(workspace: str, id: str) -> str:
    """Return an id that no other workspace can name; unchanged without a workspace."""
    return f"{workspace}{_SCOPE_SEPARATOR}{id}" if workspace and id else id
