"""The operators' interface of a daemon, over HTTP."""

import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import attrs
from aiohttp import web
from loguru import logger

from eelgrasslock.actions.action_records import ActionResult
from eelgrasslock.configuration.publish import Publication, Publisher, VersionConflict
from eelgrasslock.endpoints.release_orders import ReleaseOrders
from eelgrasslock.exceptions import RecordError, Refusal
from eelgrasslock.log.record_codec import from_jsonable, to_jsonable
from eelgrasslock.log.records import ConfigVersion, new_id
from eelgrasslock.operators.operator_edits import set_leaving, set_quarantined
from eelgrasslock.operators.operator_errors import OperatorError, describe, error_view
from eelgrasslock.operators.operator_keys import OperatorKeys
from eelgrasslock.operators.operator_reads import (
    action_views,
    endpoint_views,
    fleet_view,
    program_views,
    suspect_views,
)
from eelgrasslock.operators.operator_views import (
    ActionView,
    AuthoredOrder,
    DrainOrder,
    EndpointStateView,
    FleetView,
    ProgramView,
    PublishOrder,
    ResolveOrder,
    SuspectView,
    VersionView,
)
from eelgrasslock.programs.program_ids import parse_program_id

_EDIT_TRIES = 3
_MEMBERS_NAMED = 3
_RESULTS = {"done": ActionResult.DONE, "not_run": ActionResult.NOT_RUN}

log = logger.bind(part="operators")

Handler = Callable[[web.Request], Awaitable[Any]]
Edit = Callable[[dict[str, str]], dict[str, str]]
Order = TypeVar("Order")


class OperatorAPI:
    """Routes for operators, opened by a shared key where one is set.

    Parameters
    ----------
    application : Application
        Gives the controllers.
    """

    def __init__(self, application: Any) -> None:
        self.application = application
        self.keys = OperatorKeys(application.settings.operator_keys)
        self.publisher = Publisher(
            application.configuration,
            application.writer,
            application.tail,
            application.clock,
        )
        orders = ReleaseOrders(application.scheduler.release_digest)
        application.configuration.on_change(orders.configure)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes, all under ``/operator/``."""
        table: list[tuple[str, str, Handler]] = [
            ("GET", "/operator/config", self.read_config),
            ("POST", "/operator/config", self.publish),
            ("GET", "/operator/fleet", self.read_fleet),
            ("GET", "/operator/endpoints", self.read_endpoints),
            ("POST", "/operator/endpoints/{id}/drain", self.drain),
            ("GET", "/operator/programs", self.read_programs),
            ("GET", "/operator/programs/{id}", self.explain),
            ("GET", "/operator/actions", self.read_actions),
            ("POST", "/operator/actions/resolve", self.resolve),
            ("GET", "/operator/quarantine", self.read_suspects),
            ("POST", "/operator/quarantine/{digest}", self.quarantine),
            ("DELETE", "/operator/quarantine/{digest}", self.release),
        ]
        return [
            web.route(method, path, self._guard(handler))
            for method, path, handler in table
        ]

    async def read_config(self, request: web.Request) -> VersionView:
        """Answer with the version in force and its files."""
        record = self._record()
        return attrs.evolve(_version_view(record), files=record.files)

    async def publish(self, request: web.Request) -> VersionView:
        """Put a folder in force."""
        order = await _read_order(request, PublishOrder)
        publication = Publication(
            id=order.id,
            author=order.author,
            files=order.files,
            replaces=order.replaces,
        )
        return _version_view(await self.publisher.publish(publication))

    async def read_fleet(self, request: web.Request) -> FleetView:
        """Answer with the members of the fleet."""
        return fleet_view(self.application)

    async def read_endpoints(self, request: web.Request) -> list[EndpointStateView]:
        """Answer with the endpoints and their state."""
        return endpoint_views(self.application)

    async def drain(self, request: web.Request) -> VersionView:
        """Drain an endpoint, or undo that."""
        order = await _read_order(request, DrainOrder)
        endpoint = request.match_info["id"]
        configuration = self.application.configuration.current
        if configuration is not None and endpoint not in configuration.endpoints:
            sentence = f"There is no endpoint {endpoint!r}."
            raise OperatorError(404, error_view("unknown_endpoint", sentence))
        return await self._edit(
            order.author, lambda files: set_leaving(files, endpoint, not order.undo)
        )

    async def read_programs(self, request: web.Request) -> list[ProgramView]:
        """Answer with the programs of this daemon's failure domain."""
        return program_views(self.application)

    async def explain(self, request: web.Request) -> Any:
        """Answer with what happened to a program."""
        program = request.match_info["id"]
        try:
            return self.application.programs.explain(program)
        except Refusal as refusal:
            view = error_view(refusal.code, refusal.sentence)
            view.ask = self._home_of(program)
            raise OperatorError(refusal.status, view) from refusal

    async def read_actions(self, request: web.Request) -> list[ActionView]:
        """Answer with the actions of which nobody knows whether they ran."""
        return action_views(self.application)

    async def resolve(self, request: web.Request) -> ResolveOrder:
        """Settle an action by what an operator found out."""
        order = await _read_order(request, ResolveOrder)
        result = _RESULTS.get(order.result)
        if result is None:
            sentence = f"The result is one of {', '.join(_RESULTS)}."
            raise OperatorError(400, error_view("bad_request", sentence))
        await self.application.actions.resolve(
            order.service, order.action, result, order.author
        )
        return order

    async def read_suspects(self, request: web.Request) -> list[SuspectView]:
        """Answer with the requests that crashed endpoints or are refused."""
        return suspect_views(self.application)

    async def quarantine(self, request: web.Request) -> VersionView:
        """Refuse a request digest everywhere."""
        order = await _read_order(request, AuthoredOrder)
        digest = request.match_info["digest"]
        return await self._edit(
            order.author, lambda files: set_quarantined(files, digest, True)
        )

    async def release(self, request: web.Request) -> VersionView:
        """Refuse a request digest no more."""
        order = await _read_order(request, AuthoredOrder)
        digest = request.match_info["digest"]
        return await self._edit(
            order.author, lambda files: set_quarantined(files, digest, False)
        )

    async def _edit(self, author: str, edit: Edit) -> VersionView:
        """Publish a change of the version in force, whoever else is at it."""
        for _ in range(_EDIT_TRIES - 1):
            with contextlib.suppress(VersionConflict):
                return await self._edit_once(author, edit)
        return await self._edit_once(author, edit)

    async def _edit_once(self, author: str, edit: Edit) -> VersionView:
        record = self._record()
        files = edit(record.files)
        if files == record.files:
            return _version_view(record)
        publication = Publication(
            id=new_id(), author=author, files=files, replaces=record.id
        )
        return _version_view(await self.publisher.publish(publication))

    def _record(self) -> ConfigVersion:
        record = self.application.configuration.record
        if record is None:
            sentence = "No configuration is in force yet."
            raise OperatorError(404, error_view("no_configuration", sentence))
        return record

    def _home_of(self, program: str) -> list[str]:
        try:
            home = parse_program_id(program).domain
        except ValueError:
            return []
        if home == self.application.settings.domain:
            return []
        members = self.application.membership.table.live(home)
        return [member.http_address for member in members[:_MEMBERS_NAMED]]

    def _guard(self, handler: Handler) -> Callable[..., Awaitable[web.Response]]:
        async def handle(request: web.Request) -> web.Response:
            if not self.keys.accepts(request.headers.get("Authorization", "")):
                log.warning("{} {} was refused: no valid key.", *_origin(request))
                view = error_view("wrong_key", "A valid operator key is needed.")
                return _answer(401, {"error": to_jsonable(view)})
            try:
                return _answer(200, to_jsonable(await handler(request)))
            except Exception as error:
                status, view = describe(error)
                log.info("{} {} got {}.", *_origin(request), status)
                return _answer(status, {"error": to_jsonable(view)})

        return handle


def _origin(request: web.Request) -> tuple[str, str]:
    return request.remote or "?", f"{request.method} {request.path}"


def _answer(status: int, body: Any) -> web.Response:
    return web.json_response(body, status=status)


def _version_view(record: ConfigVersion) -> VersionView:
    return VersionView(
        version=record.version, id=record.id, author=record.author, time=record.time
    )


async def _read_order(request: web.Request, kind: type[Order]) -> Order:
    try:
        return from_jsonable(json.loads(await request.read()), kind)
    except (ValueError, RecursionError, RecordError) as error:
        names = ", ".join(attribute.name for attribute in attrs.fields(kind))  # type: ignore
        sentence = f"The body must be a JSON object with {names}."
        raise OperatorError(400, error_view("bad_request", sentence)) from error
