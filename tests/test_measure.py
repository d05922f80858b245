import json

import pytest
from attrs import evolve
from click.testing import CliRunner
from rich.console import Console

from eelgrasslock_measure.costs import measure_decision
from eelgrasslock_measure.deployments import DEPLOYMENTS, RIGA
from eelgrasslock_measure.engine_model import (
    EngineCall,
    EngineEventKind,
    EngineModel,
    EngineSpeed,
)
from eelgrasslock_measure.experiments import (
    CLAIRVOYANT,
    Job,
    collect,
    plan_jobs,
    run_job,
)
from eelgrasslock_measure.main import main
from eelgrasslock_measure.markdown import markdown_tables, read_cells
from eelgrasslock_measure.prefix_cache import PrefixCache
from eelgrasslock_measure.report import compare, last_line, print_report, write_json
from eelgrasslock_measure.scenario import FaultKind, Scenario
from eelgrasslock_measure.workload import Generator


def make_engine(batch_limit=2, cache_tokens=1_000, **speed):
    speed = EngineSpeed(
        batch_limit=batch_limit,
        prefill_tokens_per_second=1_000.0,
        decode_tokens_per_second=10.0,
        **speed,
    )
    return EngineModel(speed, PrefixCache(cache_tokens, 100))


def make_call(number, keys=(), output=10, prompt=100, **values):
    return EngineCall(f"c{number}", f"p{number}", keys, prompt, output, **values)


def run_out(engine, until=1_000.0):
    return {(event.call.id, event.kind): event.time for event in engine.advance(until)}


FIRST = EngineEventKind.FIRST_TOKEN
FINISHED = EngineEventKind.FINISHED


class TestEngineModel:
    def test_one_call_takes_prefill_and_decode(self):
        engine = make_engine()
        engine.submit(0.0, make_call(0))
        times = run_out(engine)
        assert times["c0", FIRST] == pytest.approx(0.1)
        assert times["c0", FINISHED] == pytest.approx(1.1)

    def test_a_fuller_batch_decodes_slower(self):
        engine = make_engine()
        for number in range(2):
            engine.submit(0.0, make_call(number))
        times = run_out(engine)
        assert times["c1", FINISHED] > 1.6

    def test_calls_beyond_the_batch_wait_in_their_order(self):
        engine = make_engine(batch_limit=1)
        for number in range(3):
            engine.submit(0.0, make_call(number))
        assert len(engine.queue) == 2
        times = run_out(engine)
        assert times["c1", FIRST] > times["c0", FINISHED]
        assert times["c2", FIRST] > times["c1", FINISHED]

    def test_a_held_prefix_is_not_computed_again(self):
        engine = make_engine()
        engine.submit(0.0, make_call(0, keys=(1,)))
        run_out(engine)
        engine.submit(1_000.0, make_call(1, keys=(1, 2), prompt=200))
        assert run_out(engine, 2_000.0)["c1", FIRST] == pytest.approx(1_000.1)
        assert engine.computed_tokens == 200

    def test_an_import_takes_the_place_of_computing(self):
        engine = make_engine(kv_tokens_per_second=10_000.0)
        keys = tuple(range(8))
        call = make_call(0, keys=keys, prompt=800, import_tokens=800)
        engine.submit(0.0, call)
        assert run_out(engine)["c0", FIRST] < 0.2
        assert call.cached_tokens == 799

    @pytest.mark.parametrize("moment", [0.05, 0.5])
    def test_a_cancelled_call_makes_room(self, moment):
        engine = make_engine(batch_limit=1)
        engine.submit(0.0, make_call(0, output=1_000))
        engine.submit(0.0, make_call(1))
        engine.cancel(moment, "c0")
        times = run_out(engine)
        assert ("c0", FINISHED) not in times
        assert times["c1", FIRST] == pytest.approx(moment + 0.1)

    def test_a_crash_loses_calls_and_cache(self):
        engine = make_engine(batch_limit=1)
        engine.submit(0.0, make_call(0, keys=(1,)))
        engine.submit(0.0, make_call(1))
        engine.advance(0.5)
        assert [call.id for call in engine.crash(0.6)] == ["c0", "c1"]
        assert engine.cache.used_tokens == 0
        assert engine.next_event() is None


class TestPrefixCache:
    def test_evicts_the_end_of_the_oldest_prompt(self):
        cache = PrefixCache(400, 100)
        cache.store((1, 2, 3), "p")
        cache.store((4, 5), "q")
        assert cache.cached_tokens((1, 2, 3)) == 200
        assert cache.take_changes()[1] == (3,)

    def test_a_release_frees_what_no_other_program_used(self):
        cache = PrefixCache(1_000, 100)
        cache.store((1, 2), "p")
        cache.store((1, 3), "q")
        cache.release("p")
        assert cache.cached_tokens((1, 2)) == 100
        assert cache.cached_tokens((1, 3)) == 200


class TestGenerator:
    def test_the_same_seed_gives_the_same_programs(self):
        def shape(seed):
            plans = Generator(RIGA.kinds, seed).programs(0.5, 200.0)
            return [(plan.arrival, len(plan.turns)) for plan in plans]

        assert shape(3) == shape(3)
        assert shape(3) != shape(4)


def run_small(policy, **scenario):
    scenario = Scenario(**({"seconds": 120.0} | scenario))
    job = Job(
        group="load",
        label="knee",
        deployment="turkey-west",
        policy=policy,
        scenario=scenario,
        seed=1,
    )
    return job, run_job(job)


class TestSimulation:
    @pytest.mark.parametrize("fault", list(FaultKind))
    @pytest.mark.parametrize("policy", ["least-load", "ours"])
    def test_all_programs_end_whatever_happens(self, policy, fault):
        _, summary = run_small(policy, fault=fault, daemons=2)
        assert summary.p50 > 0
        assert summary.unfinished < 0.2

    def test_a_run_repeats_exactly(self):
        assert run_small("ours") == run_small("ours")

    def test_the_clairvoyant_wastes_nothing(self):
        assert run_small(CLAIRVOYANT)[1].wasted == 0.0

    def test_no_lookup_waits_behind_background_work(self):
        assert run_small("ours", load=4.0)[1].behind == 0


class TestReport:
    def make_cells(self):
        policies = ["random", "round-robin", "least-load", "hash", "ours"]
        cells = collect(run_small(policy, seconds=60.0) for policy in policies)
        riga = [evolve(cell, deployment="riga") for cell in cells]
        return cells + riga

    def test_ends_with_one_line_for_each_deployment(self, capsys):
        cells = self.make_cells()
        print_report(cells, Console(width=200))
        lines = capsys.readouterr().out.splitlines()[-2:]
        assert lines == [last_line(cells, name) for name in DEPLOYMENTS]
        assert lines[0].startswith("riga latency-ratio=")

    def test_compares_with_the_best_simple_policy_of_each_figure(self):
        cells = self.make_cells()
        means = {
            cell.policy: cell.figures["p95"].mean
            for cell in cells
            if cell.deployment == "riga"
        }
        ours = means.pop("ours")
        one = compare(cells, "riga", "knee", "p95")
        assert one.ratio == pytest.approx(ours / min(means.values()))

    def test_writes_figures_that_any_reader_takes(self, tmp_path):
        write_json(self.make_cells(), tmp_path / "x.json", seconds=60.0)
        body = json.loads((tmp_path / "x.json").read_text())
        assert body["about"] == {"seconds": 60.0}
        assert len(body["cells"]) == 10
        text = markdown_tables(read_cells(tmp_path / "x.json"))
        assert text.count("| ours |") == 2

    def test_the_plan_covers_what_is_promised(self):
        jobs = plan_jobs(900.0, 5, 3)
        assert {job.group for job in jobs} == {
            "load",
            "fault",
            "lag",
            "daemons",
            "decision",
        }
        assert {job.deployment for job in jobs} == set(DEPLOYMENTS)


class TestCosts:
    def test_a_decision_does_not_grow_with_programs(self):
        few = measure_decision(10, 10).microseconds
        many = measure_decision(10, 2_000).microseconds
        assert many < 5 * few + 500

    def test_the_command_line_explains_itself(self):
        result = CliRunner().invoke(main, ["--help"])
        assert result.exit_code == 0
        assert "calibrate" in result.output
