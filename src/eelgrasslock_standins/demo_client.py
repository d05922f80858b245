"""How the demo's programs talk to the daemons, and come back when refused."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import aiohttp
import openai
from attrs import define
from openai import AsyncOpenAI

from eelgrasslock_standins.demo_figures import DemoFigures

_TRIES = 40
_PAUSE_SECONDS = 0.5
_AGAIN_STATUSES = (409, 429, 500, 502, 503, 504)

Result = TypeVar("Result")


@define
class ModelAnswer:
    """One turn's answer."""

    text: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@define
class ServiceAnswer:
    """A plain answer."""

    status: int
    body: dict[str, Any]


class Again(Exception):
    """The call is to be made again, after some seconds."""

    def __init__(self, reason: str, seconds: float = _PAUSE_SECONDS) -> None:
        super().__init__(reason)
        self.seconds = seconds


class DemoClient:
    """Sends calls to any of several daemons; another one when one is gone.

    Parameters
    ----------
    urls : list of str
        The daemons.
    clients : list of openai.AsyncOpenAI
        One for each daemon.
    session : aiohttp.ClientSession
        For all calls that aren't model calls.
    figures : DemoFigures
        Counts calls that are made again.
    """

    def __init__(
        self,
        urls: list[str],
        clients: list[AsyncOpenAI],
        session: aiohttp.ClientSession,
        figures: DemoFigures,
    ) -> None:
        self.urls = urls
        self.clients = clients
        self.session = session
        self.figures = figures

    async def ask(
        self,
        daemon: int,
        headers: dict[str, str],
        messages: list[dict[str, Any]],
        stream: bool,
    ) -> ModelAnswer:
        """Make a model call until it is answered."""

        async def once(at: int) -> ModelAnswer:
            request: dict[str, Any] = {
                "model": "hydro-draft",
                "messages": messages,
                "extra_headers": headers,
                "max_tokens": 128,
            }
            completions = self.clients[at].chat.completions
            try:
                if stream:
                    return await _streamed(completions, request)
                return _whole(await completions.create(**request))
            except openai.APIConnectionError as error:
                raise Again(type(error).__name__) from error
            except openai.APIStatusError as error:
                raise _again_or_fail(error) from error
            except openai.APIError as error:
                raise Again(str(error)) from error

        return await self._until_answered(daemon, once)

    async def send(
        self,
        daemon: int,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: dict[str, Any] | None = None,
    ) -> ServiceAnswer:
        """Make any other call until it is answered."""

        async def once(at: int) -> ServiceAnswer:
            url = self.urls[at] + path
            try:
                async with self.session.request(
                    method, url, headers=headers, json=body
                ) as answer:
                    found = await answer.json(content_type=None)
                    if answer.status in _AGAIN_STATUSES:
                        raise Again(str(found), _seconds(dict(answer.headers)))
                    return ServiceAnswer(answer.status, found)
            except (aiohttp.ClientError, ValueError) as error:
                raise Again(type(error).__name__) from error

        return await self._until_answered(daemon, once)

    async def _until_answered(
        self, daemon: int, once: Callable[[int], Awaitable[Result]]
    ) -> Result:
        reason = ""
        for number in range(_TRIES):
            try:
                return await once((daemon + number) % len(self.urls))
            except Again as again:
                reason = str(again)
                self.figures.retries += 1
                await asyncio.sleep(again.seconds)
        raise RuntimeError(f"no answer after {_TRIES} tries: {reason}")


async def _streamed(completions: Any, request: dict[str, Any]) -> ModelAnswer:
    options = {"include_usage": True}
    parts = []
    usage = None
    finished = False
    async for chunk in await completions.create(
        stream=True, stream_options=options, **request
    ):
        usage = chunk.usage or usage
        for choice in chunk.choices:
            parts.append(choice.delta.content or "")
            finished = finished or choice.finish_reason is not None
    if not finished or usage is None:
        raise Again("the stream ended early")
    return _answer("".join(parts), usage)


def _whole(completion: Any) -> ModelAnswer:
    return _answer(completion.choices[0].message.content, completion.usage)


def _answer(text: str, usage: Any) -> ModelAnswer:
    return ModelAnswer(
        text=text,
        prompt_tokens=usage.prompt_tokens,
        cached_tokens=usage.prompt_tokens_details.cached_tokens,
        completion_tokens=usage.completion_tokens,
    )


def _again_or_fail(error: openai.APIStatusError) -> Exception:
    if error.status_code in _AGAIN_STATUSES:
        return Again(str(error), _seconds(dict(error.response.headers)))
    return error


def _seconds(headers: dict[str, str]) -> float:
    names = {name.lower(): value for name, value in headers.items()}
    return float(names.get("retry-after", _PAUSE_SECONDS))
