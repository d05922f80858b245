"""Putting an assistant's message together from its deltas."""

from typing import Any


class MessageBuilder:
    """Collects the deltas of one streamed message."""

    def __init__(self) -> None:
        self._texts: dict[str, list[str]] = {}
        self._values: dict[str, Any] = {}
        self._calls: dict[int, _ToolCall] = {}

    def add(self, delta: dict[str, Any]) -> None:
        """Take in one delta."""
        for key, value in delta.items():
            if key == "tool_calls":
                self._add_calls(value or [])
            elif key != "role" and isinstance(value, str):
                self._texts.setdefault(key, []).append(value)
            elif value is not None:
                self._values[key] = value

    def message(self) -> dict[str, Any]:
        """Return the message as it is so far."""
        message: dict[str, Any] = {"role": "assistant", "content": None}
        message.update(self._values)
        for key, parts in self._texts.items():
            message[key] = "".join(parts)
        if self._calls:
            calls = [self._calls[index] for index in sorted(self._calls)]
            message["tool_calls"] = [call.whole() for call in calls]
            message["content"] = message["content"] or None
        return message

    def _add_calls(self, deltas: list[dict[str, Any]]) -> None:
        for delta in deltas:
            index = int(delta.get("index", 0))
            self._calls.setdefault(index, _ToolCall()).add(delta)


class _ToolCall:
    """One tool call, whose arguments come in parts."""

    def __init__(self) -> None:
        self.id = ""
        self.type = "function"
        self.name = ""
        self.arguments: list[str] = []

    def add(self, delta: dict[str, Any]) -> None:
        function = delta.get("function") or {}
        self.id = delta.get("id") or self.id
        self.type = delta.get("type") or self.type
        self.name = function.get("name") or self.name
        self.arguments.append(function.get("arguments") or "")

    def whole(self) -> dict[str, Any]:
        function = {"name": self.name, "arguments": "".join(self.arguments)}
        return {"id": self.id, "type": self.type, "function": function}
