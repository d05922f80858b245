"""Runs generated programs through real schedulers on a fast clock."""

import itertools
import random
from bisect import bisect_left
from functools import partial

from attrs import define

from eelgrasslock.configuration.settings import EndpointSettings, ServiceKind
from eelgrasslock.exceptions import Refusal
from eelgrasslock.requests.exchange import CallClass
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import BLOCK_TOKENS, Assignment, Call, CallOutcome
from eelgrasslock.scheduling.prefix_index import CHUNK_TOKENS, chunk_keys
from eelgrasslock_measure.deployments import Deployment
from eelgrasslock_measure.fault import Fault
from eelgrasslock_measure.front import Front, FrontFactory
from eelgrasslock_measure.news import News
from eelgrasslock_measure.nodes import EngineNode, Node, PlainNode
from eelgrasslock_measure.outcome import ProgramOutcome, Recorder, Summary, summarise
from eelgrasslock_measure.program_run import Caller, ProgramRun, ideal_seconds
from eelgrasslock_measure.scenario import Scenario
from eelgrasslock_measure.virtual_clock import VirtualClock
from eelgrasslock_measure.workload import ProgramPlan

WARM_UP_SHARE = 0.2
CONNECT_SECONDS = 0.1


@define(eq=False)
class PendingCall:
    """A call that waits or runs.

    Attributes
    ----------
    call : Call
        The call.
    front : Front
        The daemon that has it.
    caller : Caller
        Who waits for it.
    output_tokens : int
        Its answer's length, which no policy knows.
    submitted : float
        When it was submitted.
    reusable_tokens : int
        The longest part of its prompt that any engine had computed.
    assignment : Assignment or None
        Where it runs.
    overtaken : bool
        Whether background work went before it though it is a lookup.
    """

    call: Call
    front: Front
    caller: Caller
    output_tokens: int
    submitted: float
    reusable_tokens: int = 0
    assignment: Assignment | None = None
    overtaken: bool = False


class Simulation:
    """One run of one policy.

    Parameters
    ----------
    deployment : Deployment
        Endpoints and weights.
    scenario : Scenario
        The circumstances.
    factory : FrontFactory
        The policy.
    seed : int
        Of everything but the programs.
    """

    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        factory: FrontFactory,
        seed: int,
    ) -> None:
        self.deployment = deployment
        self.scenario = scenario
        self.clock = VirtualClock()
        self.rng = random.Random(f"run {seed}")
        self.recorder = Recorder()
        self.block_ids = itertools.count(1 << 40)
        self.pending: dict[str, PendingCall] = {}
        self.waiting_lookups: dict[str, PendingCall] = {}
        self.known_prefixes: set[int] = set()
        self.shared: dict[tuple[str, int], list[int]] = {}
        self.answers_known = False
        self.live_programs = 0
        self.busy_slot_seconds = 0.0
        domains = deployment.configuration.domains
        self.fronts: list[Front] = [
            factory(
                self.clock,
                random.Random(f"daemon {seed} {number}"),
                deployment.configuration,
                domains[number % len(domains)],
            )
            for number in range(scenario.daemons)
        ]
        self.engines: dict[str, EngineNode] = {}
        self.nodes: dict[str, Node] = {}
        for name, settings in deployment.configuration.endpoints.items():
            self._add_node(name, settings, seed)

    # --- what programs need -------------------------------------------------

    def run(self, plans: list[ProgramPlan]) -> Summary:
        """Run programs to their ends and return the figures."""
        self.live_programs = len(plans)
        for plan in plans:
            self.clock.at(plan.arrival, partial(self._arrive, plan))
        News(self).start()
        Fault(self).start()
        self.clock.at(self.scenario.seconds, self._count_busy)
        while self.live_programs and self.clock.step():
            pass
        slots = sum(node.settings.batch_limit for node in self.engines.values())
        utilisation = self.busy_slot_seconds / slots / self.scenario.seconds
        return summarise(self.recorder, self.scenario.seconds, utilisation)

    def submit(self, front: Front, call: Call, output: int, caller: Caller) -> None:
        """Give a call to a front."""
        try:
            front.submit(call)
        except Refusal as refusal:
            caller.refused(call, refusal)
            return
        now = self.clock.time
        pending = PendingCall(call, front, caller, output, now)
        self.pending[call.id] = pending
        if call.call_class is CallClass.LOOKUP:
            self.waiting_lookups[call.id] = pending
        self.pump(front)

    def chance(self) -> float:
        """Return a number from 0 to 1."""
        return self.rng.random()

    def shared_blocks(self, plan: ProgramPlan) -> list[int]:
        """Return the blocks of a program's system prompt."""
        key = (plan.kind.name, plan.shared)
        blocks = self.shared.get(key)
        if blocks is None:
            count = plan.shared_tokens // BLOCK_TOKENS
            blocks = list(itertools.islice(self.block_ids, count))
            self.shared[key] = blocks
        return list(blocks)

    def count_refusal(self) -> None:
        """Count a refused call."""
        self.recorder.refusals += 1

    def count_retry(self) -> None:
        """Count a retried call."""
        self.recorder.retries += 1

    def program_over(self, program: str, front: Front) -> None:
        """Release what a program holds."""
        front.end_program(program)
        for node in self.engines.values():
            node.release(program)

    # --- programs and calls ---------------------------------------------------

    def _arrive(self, plan: ProgramPlan) -> None:
        outcome = ProgramOutcome(
            plan.kind.name,
            plan.kind.call_class,
            self.clock.time,
            ideal_seconds(plan, self.deployment),
        )
        if plan.arrival >= WARM_UP_SHARE * self.scenario.seconds:
            self.recorder.programs.append(outcome)
        front = self.fronts[self.rng.randrange(len(self.fronts))]

        def over(finished: bool) -> None:
            self.live_programs -= 1
            if finished:
                outcome.end = self.clock.time
            else:
                self.recorder.failures += 1

        ProgramRun(plan, self, front, outcome, over).start()

    def pump(self, front: Front) -> None:
        """Send what a front starts, and answer what it gives up."""
        for expired in front.expire():
            pending = self.pending.pop(expired.call.id)
            self.waiting_lookups.pop(expired.call.id, None)
            pending.caller.refused(expired.call, expired.refusal)
        for assignment in front.assign():
            self._send(self.pending[assignment.call.id], assignment)

    def _send(self, pending: PendingCall, assignment: Assignment) -> None:
        call = assignment.call
        pending.assignment = assignment
        if call.call_class is CallClass.LOOKUP:
            self._count_lookup(pending)
        elif call.call_class is CallClass.BACKGROUND:
            self._count_overtaken(call)
        node = self.nodes[assignment.endpoint]
        if not node.is_up:
            self.clock.after(
                CONNECT_SECONDS,
                lambda: self.ended(call.id, CallOutcome.NOT_SENT, Usage()),
            )
            return
        keys = chunk_keys(call.blocks)
        pending.reusable_tokens = self._known_tokens(keys)
        imported = self._import_tokens(assignment, keys)
        behind = node.receive(call, pending.output_tokens, imported)
        if behind and call.call_class is CallClass.LOOKUP and not pending.overtaken:
            self.recorder.lookups_behind_background += 1

    def _count_lookup(self, pending: PendingCall) -> None:
        del self.waiting_lookups[pending.call.id]
        self.recorder.lookup_waits.append(self.clock.time - pending.submitted)

    def _count_overtaken(self, call: Call) -> None:
        for lookup in self.waiting_lookups.values():
            if lookup.call.service == call.service and not lookup.overtaken:
                lookup.overtaken = True
                self.recorder.lookups_behind_background += 1

    def _import_tokens(self, assignment: Assignment, keys: tuple[int, ...]) -> int:
        source = self.engines.get(assignment.import_from)
        if source is None or not source.is_up:
            return 0
        held = source.cache.cached_tokens(keys)
        target = self.engines[assignment.endpoint].cache.cached_tokens(keys)
        self.recorder.imported_tokens += max(0, held - target)
        return held if held > target else 0

    def _known_tokens(self, keys: tuple[int, ...]) -> int:
        known = self.known_prefixes
        return bisect_left(keys, True, key=lambda key: key not in known) * CHUNK_TOKENS

    def _first_token(self, call_id: str, cached_tokens: int) -> None:
        pending = self.pending[call_id]
        pending.front.progress(call_id, 1)
        call = pending.call
        self.known_prefixes.update(chunk_keys(call.blocks))
        recorder = self.recorder
        recorder.prompt_tokens += call.prompt_tokens
        recorder.wasted_tokens += max(0, pending.reusable_tokens - cached_tokens)
        if pending.assignment is not None:
            expected = pending.assignment.cached_tokens
            recorder.estimate_errors.append(expected - cached_tokens)

    def ended(self, call_id: str, end: CallOutcome, usage: Usage) -> None:
        """Tell a call's end to its front and to who waits for it."""
        pending = self.pending.pop(call_id)
        assignment = pending.assignment
        if assignment is None:
            return
        pending.front.finish(call_id, end, usage)
        pending.caller.ended(pending.call, assignment.endpoint, end, usage)
        self.pump(pending.front)

    # --- endpoints ----------------------------------------------------------

    def _add_node(self, name: str, settings: EndpointSettings, seed: int) -> None:
        service = self.deployment.configuration.services[settings.service]
        if service.kind is ServiceKind.ENGINE:
            engine = EngineNode(
                name, settings, self.clock, self._first_token, self.ended
            )
            self.engines[name] = engine
            self.nodes[name] = engine
            return
        self.nodes[name] = PlainNode(name, settings, self.clock, self.ended, seed)

    def _count_busy(self) -> None:
        for engine in self.engines.values():
            engine.report()
            self.busy_slot_seconds += engine.model.busy_slot_seconds
