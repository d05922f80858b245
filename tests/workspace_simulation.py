"""Programs of several workspaces that compete for a few engines, without I/O.

Each turn reaches a daemon at random, so that each daemon sees a part of all. Callers
may move from one failure domain to another.
"""

from attrs import define

from burst_simulation import MAX_ATTEMPTS, SERVICE, BurstSimulation, SimulatedProgram
from eelgrasslock.exceptions import Refusal
from eelgrasslock.scheduling.load_shedding import CallerWorkspace, ProgramStage

USUAL_RATE = 95.0
WORKSPACES = 20
SKEW = 1.0


@define(eq=False)
class WorkspaceProgram(SimulatedProgram):
    """A program of a workspace."""

    workspace: str = ""


class WorkspaceSimulation(BurstSimulation):
    """Programs of workspaces of unequal sizes, some of which send more for a time."""

    def __init__(self, is_fair, daemons=10, seed=5):
        super().__init__(True, daemons=daemons, seed=seed)
        self.is_fair = is_fair
        self.lower = frozenset()
        self.shift = 0.0
        self.window = (0.0, 0.0)

    def run(self, factors, window, until, everyone=1.0):
        """Simulate until a time; workspaces by number send that many times as much."""
        self.window = window
        sizes = [1 / (place + 1) ** SKEW for place in range(WORKSPACES)]
        usual = [USUAL_RATE * size / sum(sizes) for size in sizes]
        for place, rate in enumerate(usual):
            now = 0.0
            while True:
                is_hot = window[0] <= now < window[1]
                factor = everyone * factors.get(place, 1.0) if is_hot else 1.0
                now += self.rng.expovariate(rate * factor)
                if now >= until:
                    break
                self._add(now, f"w{place}")
        self._run_events()

    def on_time_of(self, workspaces, begin, end):
        """Return the share of workspaces' programs of a time that ended on time."""
        programs = self._begun(workspaces, begin, end)
        return sum(one.is_on_time for one in programs) / len(programs)

    def served_of(self, workspaces, begin, end):
        """Return the share of workspaces' programs of a time that ended."""
        programs = self._begun(workspaces, begin, end)
        return sum(one.ended is not None for one in programs) / len(programs)

    def _begun(self, workspaces, begin, end):
        names = {f"w{place}" for place in workspaces}
        return [
            one
            for one in self.programs
            if begin <= one.began < end and one.workspace in names
        ]

    def _add(self, now, workspace):
        is_top = self.rng.random() < 0.33
        program = WorkspaceProgram(
            began=now,
            turns=max(1, round(self.rng.gauss(9 if is_top else 4, 1.5))),
            daemon=0,
            has_top_priority=is_top,
            workspace=workspace,
        )
        program.daemon = self._choose_daemon(now, program)
        self.programs.append(program)
        self._schedule(now, self._begin, program)

    def _choose_daemon(self, now, program):
        """Return any daemon, or with a shift one of the domain of the callers then.

        Workspaces with even numbers are called from one domain, others from another.
        """
        count = len(self.shedders)
        if not self.shift:
            return self.rng.randrange(count)
        is_second = int(program.workspace[1:]) % 2 == 1
        if not is_second and self.window[0] <= now < self.window[1]:
            is_second = self.rng.random() < self.shift
        return self.rng.randrange(count // 2) + is_second * (count // 2)

    def _check(self, program, stage):
        workspace = None
        if self.is_fair:
            name = program.workspace
            workspace = CallerWorkspace(name, name in self.lower)
        self.shedders[program.daemon].check(
            SERVICE, stage, program.has_top_priority, workspace=workspace
        )

    def _begin(self, now, program):
        stage = ProgramStage.RETURNED if program.attempts else ProgramStage.FRESH
        program.attempts += 1
        try:
            self._check(program, stage)
        except Refusal as refusal:
            self.refusals.append(refusal)
            if program.attempts < MAX_ATTEMPTS:
                program.daemon = self._choose_daemon(now, program)
                self._schedule(now + refusal.retry_after, self._begin, program)
            return
        self._start_turn(now, program)

    def _turn(self, now, program):
        program.daemon = self._choose_daemon(now, program)
        self._check(program, ProgramStage.UNDER_WAY)
        self._start_turn(now, program)

    def _start_turn(self, now, program):
        super()._turn(now, program)
