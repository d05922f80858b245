import json
import shutil

import pytest
from click.testing import CliRunner

from eelgrasslock.operators.cli import main
from fake_application import ABROAD, HOME, KEYS, fake_application, served
from fake_config import folder
from test_folder import EXAMPLES

RETRY_SECONDS = "eelgrasslock.operators.operator_client._RETRY_SECONDS"

NOWHERE = "http://127.0.0.1:1"
COMMANDS = [
    "actions",
    "check",
    "check-node",
    "check-routes",
    "completion",
    "diff",
    "drain",
    "endpoints",
    "explain",
    "fleet",
    "logs",
    "origins",
    "programs",
    "publish",
    "pull",
    "quarantine",
    "release",
    "resolve",
    "show",
    "suspects",
]


def run(*arguments, daemon=NOWHERE, key="", **environment):
    environment = {
        "EELGRASSLOCK_DAEMON": daemon,
        "EELGRASSLOCK_KEY": key,
        "EELGRASSLOCK_AUTHOR": "ana",
        **environment,
    }
    texts = [str(argument) for argument in arguments]
    return CliRunner().invoke(main, texts, env=environment)


def run_json(*arguments, **options):
    result = run(*arguments, "--json", **options)
    return result.exit_code, json.loads(result.stdout)


def write(path, files):
    path.mkdir(exist_ok=True)
    for name, text in files.items():
        (path / name).write_text(text)
    return path


@pytest.fixture
def riga(tmp_path):
    return shutil.copytree(EXAMPLES / "riga", tmp_path / "riga")


@pytest.fixture
def application():
    return fake_application()


@pytest.fixture
def daemon(application):
    with served(application) as url:
        yield url


class TestHelp:
    @pytest.mark.parametrize("command", COMMANDS)
    def test_every_command_explains_itself(self, command):
        result = run(command, "--help")
        assert result.exit_code == 0
        assert len(result.output.splitlines()) > 5

    def test_lists_all_commands_and_exit_codes(self):
        output = run("--help").output
        assert all(f"  {command} " in output for command in COMMANDS)
        assert "Exit codes:" in output

    @pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
    def test_completion(self, shell):
        assert "_EELGRASSLOCK_COMPLETE" in run("completion", shell).output

    @pytest.mark.parametrize(
        "arguments",
        [["check"], ["resolve", "a", "b"], ["resolve", "a", "b", "--result", "x"]],
    )
    def test_wrong_usage(self, arguments):
        assert run(*arguments).exit_code == 2


class TestLocal:
    def test_check(self, riga):
        assert run("check", riga).exit_code == 0
        (riga / "90.yaml").write_text("wieghts: 1\nlimits: {retry_ratio: 9}\n")
        result = run("check", riga)
        assert result.exit_code == 1
        assert "90.yaml:1" in result.output
        assert "'weights'" in result.output
        code, body = run_json("check", riga)
        assert code == 1
        places = [(one["line"], one["path"]) for one in body["findings"]]
        assert sorted(places) == [(1, "wieghts"), (2, "limits.retry_ratio")]

    def test_check_of_a_daemon(self):
        path = EXAMPLES / "daemon"
        assert run("check", path, "--kind", "daemon").exit_code == 0
        assert run("check", path).exit_code == 1

    @pytest.mark.parametrize("command", ["check", "show", "origins", "publish"])
    def test_a_folder_that_vanished(self, command, tmp_path):
        result = run(command, tmp_path / "gone")
        assert result.exit_code == 1
        assert "can't be read" in result.output

    def test_show_is_valid_as_a_folder(self, riga, tmp_path):
        merged = write(tmp_path / "merged", {"a.yaml": run("show", riga).output})
        assert run_json("show", merged) == run_json("show", riga)

    def test_show_hides_keys(self, tmp_path):
        shutil.copytree(EXAMPLES / "daemon", tmp_path, dirs_exist_ok=True)
        (tmp_path / "90.yaml").write_text(f"operator_keys: [{KEYS[0]}]\n")
        result = run("show", tmp_path, "--kind", "daemon")
        assert "operator_keys" in result.output
        assert KEYS[0] not in result.output

    def test_origins(self, riga):
        code, found = run_json("origins", riga, "limits.program")
        assert code == 0
        assert set(found) == {f"limits.program.{k}" for k in ("tokens", "turns", "age")}
        assert found["limits.program.tokens"] == {
            "file": "80-renewal-season.yaml",
            "line": 5,
            "overrides": ["60-limits.yaml:4"],
        }
        assert "60-limits.yaml:4" in run("origins", riga).output


class TestPublishing:
    def test_publish_diff_and_pull(self, daemon, riga, tmp_path):
        result = run("publish", riga, daemon=daemon)
        assert result.output == "Version 1 by ana is in force.\n"
        assert "no difference" in run("diff", riga, daemon=daemon).output
        weights = riga / "50-weights.yaml"
        weights.write_text("weights: {latency: 2, wasted_cache: 3.0}\n")
        _, body = run_json("diff", riga, daemon=daemon)
        assert body["changes"] == [
            {"key": "weights.latency", "in_force": 1.0, "folder": 2}
        ]
        assert run_json("publish", riga, daemon=daemon)[1]["version"] == 2
        copy = tmp_path / "copy"
        assert run("pull", copy, daemon=daemon).exit_code == 0
        assert run("pull", copy, daemon=daemon).exit_code == 2
        assert run_json("publish", copy, daemon=daemon)[1]["version"] == 2
        (copy / "90.yaml").write_text("quarantined: [x]\n")
        assert run_json("publish", copy, daemon=daemon)[1]["version"] == 3

    def test_the_second_operator_is_refused_and_told(self, daemon, riga, tmp_path):
        run("publish", riga, daemon=daemon)
        mine = shutil.copytree(riga, tmp_path / "mine")
        (riga / "90.yaml").write_text("quarantined: [x]\n")
        run("publish", riga, daemon=daemon)
        code, body = run_json("publish", mine, daemon=daemon, EELGRASSLOCK_AUTHOR="ben")
        assert (code, body["error"]["version"], body["error"]["author"]) == (
            3,
            2,
            "ana",
        )
        assert run("publish", mine, "--replaces", 1, daemon=daemon).exit_code == 3
        assert run("publish", mine, "--replaces", 2, daemon=daemon).exit_code == 0

    def test_a_folder_of_unknown_origin_is_refused(self, daemon, riga, tmp_path):
        run("publish", riga, daemon=daemon)
        other = write(tmp_path / "other", folder())
        assert run("publish", other, daemon=daemon).exit_code == 3

    def test_a_drain_neither_blocks_a_publish_nor_is_lost(
        self, application, daemon, riga
    ):
        run("publish", riga, daemon=daemon)
        assert run("drain", "hydro-a-1", daemon=daemon).exit_code == 0
        assert "no difference" in run("diff", riga, daemon=daemon).output
        (riga / "50-weights.yaml").unlink()
        assert run("publish", riga, daemon=daemon).exit_code == 0
        assert application.configuration.current.endpoints["hydro-a-1"].leaving
        run("drain", "hydro-a-1", "--undo", daemon=daemon)
        assert not application.configuration.current.endpoints["hydro-a-1"].leaving


class TestFleet:
    @pytest.mark.parametrize(
        ("arguments", "words"),
        [
            (["fleet"], ["a-1 *", "b-1", "silent"]),
            (["endpoints"], ["hydro-a-1", "licence-c-1", "closed"]),
            (["endpoints", "--service", "licence-app"], ["licence-a-1"]),
            (["programs"], [HOME, "70"]),
            (["explain", HOME], ["cached", "Refused: late: No."]),
            (["actions"], ["fee-1", "1970-01-01"]),
            (["resolve", "app", "fee-1", "--result", "not-run"], ["not-run"]),
            (["drain", "hydro-a-1"], ["Version 2 by ana"]),
            (["quarantine", "d1"], ["Version 2 by ana"]),
            (["release", "d1"], ["Version 2 by ana"]),
            (["suspects"], ["d7", "2", "yes"]),
        ],
        ids=lambda value: " ".join(value) if isinstance(value, list) else None,
    )
    def test_tables_and_json(self, daemon, riga, arguments, words):
        run("publish", riga, daemon=daemon)
        result = run(*arguments, daemon=daemon)
        assert result.exit_code == 0
        assert all(word in result.output for word in words)
        assert run_json(*arguments, daemon=daemon)[0] == 0

    @pytest.mark.parametrize(
        "arguments",
        [
            ["explain", ABROAD],
            ["explain", "garbage"],
            ["drain", "nobody"],
            ["resolve", "app", "fee-2", "--result", "done"],
            ["endpoints"],
        ],
    )
    def test_refusals(self, riga, arguments):
        with served(fake_application(KEYS)) as daemon:
            run("publish", riga, daemon=daemon, key=KEYS[0])
            key = "" if arguments == ["endpoints"] else KEYS[1]
            code, body = run_json(*arguments, daemon=daemon, key=key)
        assert code == 3
        assert body["error"]["sentence"]

    def test_nobody_there(self):
        assert run("fleet").exit_code == 4
        assert run_json("fleet", daemon="127.0.0.1:1")[1]["error"]["code"] == (
            "unreachable"
        )

    def test_the_log_is_down(self, application, daemon, riga, monkeypatch):
        monkeypatch.setattr(
            "eelgrasslock.operators.operator_client._RETRY_SECONDS", 0.0
        )
        application.writer.stream.up = False
        assert run("publish", riga, daemon=daemon).exit_code == 4

    def test_a_lost_answer_is_tried_again(self, application, daemon, riga, monkeypatch):
        monkeypatch.setattr(
            "eelgrasslock.operators.operator_client._RETRY_SECONDS", 0.0
        )
        stream = application.writer.stream
        stream.lose_answers = True
        assert run_json("publish", riga, daemon=daemon)[1]["version"] == 1
        assert len(stream.entries) == 1
