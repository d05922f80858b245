"""From a failed request's id to its cause, by the daemons' lines alone."""

import io
import json

import pytest
from click.testing import CliRunner

from eelgrasslock.operators.cli import main
from eelgrasslock.operators.log_stories import CAUSES, parse_line, tell_story
from eelgrasslock.telemetry.log_sink import LineBudget, LogSink
from platform_fleet import configuration


def line(message, prefix="", **fields):
    values = {"time": "2026-12-04T10:00:00", "daemon": "a-1", "part": "requests"}
    return prefix + json.dumps({**values, "message": message, **fields})


REFUSED = line(
    "The program's token budget is spent.",
    request="r1",
    program="p",
    outcome="refused",
    reason="budget_spent",
)
LINES = [
    line("Endpoint i-1 is ready.", part="routing"),
    line("The budget is spent.", part="allowances", request="r1", drawn_here=3),
    REFUSED,
    line("Another.", request="r2", program="q", outcome="served", reason="answered"),
    "no log line",
]


class TestStories:
    def test_lines_of_a_request_in_the_order_of_time(self):
        early = line("Early.", request="r1", time="2026-12-04T09:00:00")
        story = tell_story("r1", [*LINES, early])
        assert story.lines[0].message == "Early."
        assert len(story.lines) == 3
        assert story.unreadable == 1

    def test_a_program_is_told_over_its_requests(self):
        assert len(tell_story("p", LINES).lines) == 1

    def test_the_cause_is_that_of_the_last_outcome(self):
        assert tell_story("r1", LINES).cause == CAUSES["budget_spent"]

    def test_a_request_without_outcome_died_with_its_daemon(self):
        story = tell_story("r1", LINES[:2])
        assert "died" in story.cause

    def test_a_prefix_is_passed_over(self):
        found = parse_line(line("Text.", prefix="  4.2 edge-1 ", request="r"))
        assert found is not None
        assert found.request == "r"

    @pytest.mark.parametrize("text", ["", "{", "[]", '{"a": 1}', "{}"])
    def test_other_lines_are_told_apart(self, text):
        assert parse_line(text) is None


class TestCommands:
    def run(self, *arguments):
        return CliRunner().invoke(main, [str(one) for one in arguments])

    def test_explain_tells_the_story(self, tmp_path):
        file = tmp_path / "a.log"
        file.write_text("\n".join(LINES))
        result = self.run("logs", "explain", "r1", file)
        assert result.exit_code == 0
        assert CAUSES["budget_spent"] in result.output
        assert "drawn_here=3" in result.output

    def test_explain_as_json(self, tmp_path):
        file = tmp_path / "a.log"
        file.write_text("\n".join(LINES))
        result = self.run("logs", "explain", "r1", file, "--json")
        assert json.loads(result.output)["cause"] == CAUSES["budget_spent"]

    def test_an_unknown_id_ends_with_3(self, tmp_path):
        file = tmp_path / "a.log"
        file.write_text(LINES[0])
        assert self.run("logs", "explain", "r9", file).exit_code == 3

    def test_check_routes_names_each_finding(self, tmp_path):
        document = configuration()
        del document["routes"][0]["timeoutMs"]
        document["routes"][1]["kind"] = "fast"
        document["services"][0]["engine"]["slots"] = "many"
        file = tmp_path / "config.json"
        file.write_text(json.dumps(document))
        result = self.run("check-routes", file, "--json")
        assert result.exit_code == 1
        places = [one["path"] for one in json.loads(result.output)["findings"]]
        assert places == ["routes.0", "routes.1", "services.0"]

    def test_check_routes_of_a_good_document(self, tmp_path):
        file = tmp_path / "config.json"
        file.write_text(json.dumps(configuration()))
        assert self.run("check-routes", file).exit_code == 0

    @pytest.mark.parametrize("text", ["", "name: 7\n", "[1]\n", "\x00"])
    def test_check_node_names_what_is_wrong(self, tmp_path, text):
        file = tmp_path / "node.yaml"
        file.write_text(text)
        assert self.run("check-node", file).exit_code == 1


class TestLineBudget:
    def test_a_burst_is_bounded_and_the_rate_after_it(self):
        budget = LineBudget(10.0, 5.0, 0.0)
        assert [budget.take(0.0) for _ in range(7)].count(True) == 5
        assert [budget.take(0.2) for _ in range(4)].count(True) == 2

    def test_left_out_lines_are_said(self, monkeypatch):
        monkeypatch.setattr("eelgrasslock.telemetry.log_sink.LINES_AT_ONCE", 3.0)
        monkeypatch.setattr("eelgrasslock.telemetry.log_sink.LINES_PER_SECOND", 0.0)
        output = io.StringIO()
        sink = LogSink(output)
        for number in range(10):
            sink.put(f"{number}\n")
        sink.put("urgent\n", is_urgent=True)
        sink.close()
        written = output.getvalue().splitlines()
        assert written[:3] == ["0", "1", "2"]
        assert json.loads(written[3])["left_out"] == 7
        assert written[4] == "urgent"

    def test_an_output_that_nobody_reads_does_not_hold_the_caller_up(self):
        class Stuck(io.StringIO):
            def write(self, text):
                raise BrokenPipeError

        sink = LogSink(Stuck())
        for number in range(100):
            sink.put(f"{number}\n")
        sink.close()


TURN = {"budget": 200, "max_tokens": 100, "outcome": "served", "program": "p"}


class TestBudgetTotals:
    def write(self, tmp_path, *lines):
        file = tmp_path / "edge.log"
        file.write_text("\n".join(lines))
        return CliRunner().invoke(main, ["logs", "budgets", str(file), "--json"])

    def test_tokens_of_all_daemons_and_truncated_turns_count(self, tmp_path):
        result = self.write(
            tmp_path,
            line("Relayed.", tokens=100, daemon="a-1", **TURN),
            line("Relayed.", tokens=100, daemon="b-1", **TURN),
            line("Broken.", tokens=50, **{**TURN, "outcome": "cut"}),
            line("Drew 100 tokens.", program="p", offline_tokens=100),
            "no log line",
        )
        (total,) = json.loads(result.stdout)
        assert total["used_tokens"] == 250
        assert total["turns"] == 3
        assert len(total["offline_draws"]) == 1
        assert result.exit_code == 0

    def test_a_turn_without_an_end_counts_as_possible(self, tmp_path):
        """A daemon that is killed writes no line of the turns that it relays."""
        reserved = {"program": "p", "reserved_tokens": 100}
        result = self.write(
            tmp_path,
            line("Reserved 100 tokens.", request="r1", **reserved),
            line("Relayed.", request="r1", tokens=40, **TURN),
            line("Reserved 100 tokens.", request="r2", **reserved),
        )
        (total,) = json.loads(result.stdout)
        assert total["used_tokens"] == 40
        assert total["open_turns"] == {"r2": 100}

    def test_a_program_whose_only_turns_have_no_end_is_listed(self, tmp_path):
        """A killed daemon wrote the reservations of a program and nothing else."""
        reserved = {"program": "p", "reserved_tokens": 100, "worst": 100, "budget": 150}
        result = self.write(
            tmp_path,
            line("Reserved 100 tokens.", request="r1", **reserved),
            line("Reserved 100 tokens.", request="r2", **reserved),
        )
        (total,) = json.loads(result.stdout)
        assert total["open_turns"] == {"r1": 100, "r2": 100}
        assert (total["budget"], total["max_turn_tokens"]) == (150, 100)
        assert (total["used_tokens"], total["turns"]) == (0, 0)
        assert result.exit_code == 0

    def test_more_than_the_budget_and_one_turn_is_a_finding(self, tmp_path):
        turns = [line("Relayed.", tokens=100, **TURN) for _ in range(4)]
        assert self.write(tmp_path, *turns).exit_code == 1

    def test_requests_without_a_budget_are_left_out(self, tmp_path):
        call = line("Relayed.", tokens=0, program="p", outcome="served")
        result = self.write(tmp_path, call)
        assert json.loads(result.stdout) == []
