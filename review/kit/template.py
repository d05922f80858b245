"""Renders the deploy file's settings template as the platform does."""

import json
import re
from typing import Any

_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def render(template: str, fields: dict[str, Any]) -> str:
    """Return the template with its sections and placeholders filled in."""

    def section(match: re.Match[str]) -> str:
        mark, path, inner = match.groups()
        value = _lookup(fields, path)
        if mark == "^":
            return "" if value else render(inner, fields)
        return render(inner.replace("{{.}}", str(value)), fields) if value else ""

    def placeholder(match: re.Match[str]) -> str:
        value = _lookup(fields, match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    return _VALUE.sub(placeholder, _SECTION.sub(section, template))


def _lookup(fields: Any, path: str) -> Any:
    for name in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(name)]
        elif isinstance(fields, dict):
            fields = fields.get(name)
        else:
            return None
    return fields
