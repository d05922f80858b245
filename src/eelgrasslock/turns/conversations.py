"""Puts the chain of a turn before its input, and stores the turn at its end."""

import asyncio

from attrs import evolve
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.conversations.conversation_controller import ConversationController
from eelgrasslock.conversations.event_data import StreamEvent
from eelgrasslock.conversations.history import History
from eelgrasslock.conversations.refusals import conversation_too_long, turn_not_stored
from eelgrasslock.conversations.turn import Turn
from eelgrasslock.conversations.turn_codec import MAX_TURN_BYTES
from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable
from eelgrasslock.exchanges.messages import GatewayRequest
from eelgrasslock.exchanges.request_context import RequestContext
from eelgrasslock.responses.responder import ResponseWriter
from eelgrasslock.routing.routes import Route
from eelgrasslock.turns.turn_in_progress import TurnInProgress
from eelgrasslock.turns.turn_recorder import TurnRecorder
from eelgrasslock.workspaces.workspace import scoped_id

# How long a broken stream waits for the log before the caller sees that it broke.
MAX_INTERRUPT_SECONDS = 0.1

# The places of all turns of a chain are in the record of each turn.
MAX_CHAIN_TURNS = 4_000
# Left for the output and the list of ancestors in the records of a turn.
_RECORD_RESERVE_BYTES = 400_000

_log = logger.bind(part="conversations")


class Conversations:
    """Begins and ends turns whose chain the fleet keeps.

    Parameters
    ----------
    controller : ConversationController
        Finds and stores turns.
    clock : Clock
        The source of time.
    """

    def __init__(self, controller: ConversationController, clock: Clock) -> None:
        self.controller = controller
        self.clock = clock

    async def begin(
        self,
        request: GatewayRequest,
        route: Route,
        responder: ResponseWriter,
        max_body_bytes: int,
    ) -> TurnInProgress | None:
        """Return the turn of a request, None if its route keeps no turns.

        Raises
        ------
        Refusal
            If the turn could not be stored, its chain is not known or does not
            exist, or the conversation is too long.
        """
        if not route.keeps_turns:
            return None
        self.controller.check_can_store()
        started_at = self.clock.monotonic()
        history = await self.controller.finder.find_history(
            scoped_id(request.workspace, request.previous_turn),
            route.retention_seconds,
        )
        _check_length(request, history, max_body_bytes)
        resumed = []
        if request.last_event_id:
            resumed = await self.controller.finder.find_interrupted(
                scoped_id(request.workspace, request.resumed_request),
                request.last_event_id,
            )
        return TurnInProgress(
            new_input=request.body,
            request=evolve(request, body=history.body(request.body)),
            history=history,
            recorder=TurnRecorder(responder, resumed),
            look_up_seconds=self.clock.monotonic() - started_at,
        )

    async def end(self, turn: TurnInProgress, context: RequestContext) -> None:
        """Store a turn whose events have been relayed, and send its end.

        Raises
        ------
        Refusal
            If it was not stored in time; the response must be cut off then.
        """
        recorder = turn.recorder
        if not recorder.is_complete:
            return
        started_at = self.clock.monotonic()
        try:
            async with asyncio.timeout(context.deadline - started_at):
                await self._store(turn, context)
        except TimeoutError as error:
            raise turn_not_stored() from error
        finally:
            turn.store_seconds = self.clock.monotonic() - started_at
        await recorder.finish_turn()

    async def _store(self, turn: TurnInProgress, context: RequestContext) -> None:
        """Store a turn under its id, and under that of the stream that it resumed."""
        request = turn.request
        done = Turn(
            id=request.id,
            parent=scoped_id(request.workspace, request.previous_turn),
            endpoint=context.endpoint,
            ended_at=self.clock.now(),
            input=turn.new_input,
            output=turn.recorder.output,
        )
        ids = {request.id, context.stream_id} - {""}
        await asyncio.gather(
            *(
                self.controller.writer.store(
                    evolve(done, id=scoped_id(request.workspace, id)), turn.history
                )
                for id in ids
            )
        )

    def interrupt(
        self, turn: TurnInProgress, context: RequestContext
    ) -> asyncio.Task[None] | None:
        """Begin to store the events of a turn that broke off and may be resumed."""
        recorder = turn.recorder
        if not context.route.resumable or not context.stream_id or recorder.is_complete:
            return None
        if not recorder.events:
            return None
        work = self._store_interrupted(context, recorder.events)
        return self.controller.start_task(work)

    async def _store_interrupted(
        self, context: RequestContext, events: list[StreamEvent]
    ) -> None:
        try:
            stream = scoped_id(context.request.workspace, context.stream_id)
            await self.controller.writer.store_interrupted(stream, events)
        except (LogUnavailable, AppendUnresolved) as error:
            _log.bind(request=context.request.id).info(
                "The events of a stream that broke off are not stored: {}", error
            )


def _check_length(
    request: GatewayRequest, history: History, max_body_bytes: int
) -> None:
    if len(request.body) > MAX_TURN_BYTES - _RECORD_RESERVE_BYTES:
        raise conversation_too_long(MAX_TURN_BYTES - _RECORD_RESERVE_BYTES)
    is_long = history.size + len(request.body) > max_body_bytes
    if is_long or len(history.turns) >= MAX_CHAIN_TURNS:
        raise conversation_too_long(max_body_bytes)
