import pathlib

import pytest

from eelgrasslock.configuration.folder import (
    MAX_FOLDER_BYTES,
    load_configuration,
    load_daemon_settings,
    read_folder,
)
from eelgrasslock.configuration.yaml_places import MAX_FILE_BYTES
from eelgrasslock.exceptions import SettingsError
from fake_config import DEPLOYMENT, folder

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
DAEMON = """\
name: d
domain: a
http_address: 127.0.0.1:8000
peer_address: 127.0.0.1:8001
log_url: http://127.0.0.1:9000
"""


def findings_of(load, *arguments):
    with pytest.raises(SettingsError) as caught:
        load(*arguments)
    return caught.value.exceptions


def places(findings):
    return [(one.file, one.line, one.path) for one in findings]


class TestMerging:
    def test_later_file_adds_overrides_and_removes(self):
        later = (
            "overrides: [endpoints.one.url]\n"
            "endpoints:\n"
            "  one: {url: 'http://127.0.0.1:9009', batch_limit: 3}\n"
            "  two: null\n"
        )
        loaded = load_configuration(folder(**{"90-later.yaml": later}))
        endpoints = loaded.configuration.endpoints
        assert list(endpoints) == ["one"]
        assert endpoints["one"].url.endswith(":9009")
        assert endpoints["one"].batch_limit == 3
        origin = loaded.origins["endpoints.one.url"]
        assert (origin.file, origin.line) == ("90-later.yaml", 3)
        assert [str(place) for place in origin.overrides] == ["10-all.yaml:6"]

    def test_names_decide_the_order_and_not_the_order_given(self):
        files = folder(**{"90.yaml": "overrides: [deployment]\ndeployment: last\n"})
        backwards = dict(reversed(files.items()))
        assert load_configuration(backwards).configuration.deployment == "last"

    def test_part_of_the_limits_keeps_the_defaults_of_the_rest(self):
        files = folder(**{"60.yaml": "limits: {program: {turns: 7}}\n"})
        limits = load_configuration(files).configuration.limits.program
        assert (limits.turns, limits.tokens) == (7, 400_000)

    def test_only_changed_parts_are_built_again(self):
        first = load_configuration(folder()).configuration
        changed = folder(**{"60.yaml": "endpoints: {two: {batch_limit: 3}}\n"})
        second = load_configuration(changed).configuration
        assert second.endpoints["one"] is first.endpoints["one"]
        assert second.endpoints["two"].batch_limit == 3
        assert load_configuration(folder()).configuration == first

    def test_a_second_load_reports_the_same(self):
        files = folder(**{"60.yaml": "limits: [\n"})
        first = findings_of(load_configuration, files)
        assert places(findings_of(load_configuration, files)) == places(first)


SIX = [f"m{number}" for number in range(6)]
SIX_MODELS = "models:\n" + "".join(f"  {name}: {{service: pool}}\n" for name in SIX)
# fmt: off
ONE_FAULT = [
    ("unknown key", "wieghts: {latency: 1}\n", 1, "wieghts", "'weights'"),
    ("unknown nested key",
     "limits: {retry_ration: 0.1}\n",
     1, "limits.retry_ration", "'retry_ratio'"),
    ("wrong type",
     "limits:\n  body_bytes: much\n",
     2, "limits.body_bytes", "whole number"),
    ("number for a truth",
     "endpoints: {one: {leaving: 1}}\n",
     1, "endpoints.one.leaving", "true or false"),
    ("fraction",
     "limits: {body_bytes: 5000.5}\n",
     1, "limits.body_bytes", "whole number"),
    ("list for a mapping", "aliases: [x]\n", 1, "aliases", "a mapping"),
    ("null in a list", "quarantined: [null]\n", 1, "quarantined.0", "found nothing"),
    ("duplicate key", "limits: {}\nlimits: {}\n", 2, "limits", "twice"),
    ("duplicate id",
     "aliases:\n  x: {models: [draft]}\n  x: {models: [draft]}\n",
     3, "aliases.x", "twice"),
    ("limit too high",
     "limits: {retry_ratio: 3}\n",
     1, "limits.retry_ratio", "between 0 and 1"),
    ("not a number",
     "limits: {retry_ratio: .nan}\n",
     1, "limits.retry_ratio", "between"),
    ("unknown domain",
     "endpoints: {x: {service: pool, domain: c, url: 'http://127.0.0.1:1'}}\n",
     1, "endpoints.x.domain", "failure domain 'c'"),
    ("unknown service",
     "endpoints: {x: {service: poll, domain: a, url: 'http://127.0.0.1:1'}}\n",
     1, "endpoints.x.service", "'pool'"),
    ("unknown model",
     "endpoints: {one: {models: [darft]}}\n",
     1, "endpoints.one.models.0", "'draft'"),
    ("model of an unknown service",
     "models: {m: {service: none}}\n",
     1, "models.m.service", "service 'none'"),
    ("alias of an unknown model",
     "aliases: {x: {models: [m]}}\n",
     1, "aliases.x.models.0", "model 'm'"),
    ("alias empty", "aliases: {x: {models: []}}\n", 1, "aliases.x.models", "1 to 5"),
    ("alias too long",
     f"aliases: {{x: {{models: [{', '.join(SIX)}]}}}}\n{SIX_MODELS}",
     1, "aliases.x.models", "1 to 5"),
    ("alias like a model",
     "aliases: {draft: {models: [draft]}}\n",
     1, "aliases.draft", "model as well"),
    ("host name",
     "endpoints: {x: {service: pool, domain: a, url: 'http://host:1'}}\n",
     1, "endpoints.x.url", "IP address"),
    ("credential in a URL",
     "endpoints: {x: {service: pool, domain: a, url: 'http://u:p@127.0.0.1:1'}}\n",
     1, "endpoints.x.url", "credential_env"),
    ("URL twice",
     "endpoints: {x: {service: pool, domain: a, url: 'http://127.0.0.1:9001/'}}\n",
     1, "endpoints.x.url", "'one'"),
    ("set twice", "deployment: other\n", 1, "deployment", "10-all.yaml:1"),
    ("set twice to the same", "deployment: small\n", 1, "deployment", "10-all.yaml:1"),
    ("list set twice", "domains: [a, b, c]\n", 1, "domains", "10-all.yaml:2"),
    ("void mark", "overrides: [limits.body_bytes]\n", 1, "overrides", "void"),
    ("mark is no list", "overrides: limits\n", 1, "overrides", "list"),
    ("nothing to remove", "aliases: {x: null}\n", 1, "aliases.x", "nothing to remove"),
    ("malformed", "limits:\n  a: [\n", 3, "", "not valid YAML"),
    ("two documents", "limits: {}\n---\nlimits: {}\n", 2, "", "not valid YAML"),
    ("control character", "limits: {}\n# \x07\n", 2, "", "forbids"),
    ("no mapping", "- 1\n", 1, "", "mapping"),
    ("key that is no text",
     "aliases:\n  on: {models: [draft]}\n",
     2, "aliases", "quotes"),
    ("YAML alias",
     "limits: {call_seconds: &x 5, progress_seconds: *x}\n",
     1, "limits.progress_seconds", "anchors"),
    ("date",
     "limits: {call_seconds: 2026-01-01}\n",
     1, "limits.call_seconds", "quote it"),
    ("python object", "limits: !!python/object:os.system x\n", 1, "limits", "quote it"),
    ("far too deep", "limits: " + "[" * 90_000, 1, "", "not valid YAML"),
    ("too large", "# " + "x" * MAX_FILE_BYTES, 1, "", "bytes"),
]
# fmt: on


class TestFindings:
    @pytest.mark.parametrize(
        ("text", "line", "path", "words"),
        [pytest.param(*case[1:], id=case[0]) for case in ONE_FAULT],
    )
    def test_one_fault_is_one_finding_with_its_place(self, text, line, path, words):
        (finding,) = findings_of(load_configuration, folder(**{"70-x.yaml": text}))
        assert (finding.file, finding.line) == ("70-x.yaml", line)
        assert finding.path == path
        assert words in finding.message

    def test_what_is_nested_too_deeply_is_cut(self):
        text = "quarantined: " + "[" * 200 + "]" * 200
        findings = findings_of(load_configuration, folder(**{"70.yaml": text}))
        assert any("too deeply" in one.message for one in findings)

    def test_all_findings_come_together(self):
        files = folder(
            **{
                "60.yaml": "limits: {retry_ratio: 9}\nwieghts: 1\n",
                "70.yaml": "aliases: [\n",
                "80.yaml": "deployment: again\n",
            }
        )
        found = {one.file for one in findings_of(load_configuration, files)}
        assert found == {"60.yaml", "70.yaml", "80.yaml"}
        assert len(findings_of(load_configuration, files)) == 4

    @pytest.mark.parametrize(
        ("files", "words"),
        [
            ({}, "no settings file"),
            ({"a.yaml": "# nothing\n"}, "'deployment' is missing"),
            ({f"{n}.yaml": "# " + "x" * 900_000 for n in range(5)}, "bytes"),
        ],
        ids=["no file", "nothing set", "too large together"],
    )
    def test_files_that_make_no_configuration(self, files, words):
        findings = findings_of(load_configuration, files)
        assert any(words in one.message for one in findings)
        assert MAX_FOLDER_BYTES < 5 * 900_000

    def test_a_model_of_another_service_is_found(self):
        text = (
            "services: {other: {kind: engine}, app: {kind: plain}}\n"
            "models: {m: {service: other}, n: {service: app}}\n"
            "endpoints: {one: {models: [m]}}\n"
        )
        findings = findings_of(load_configuration, folder(**{"70.yaml": text}))
        paths = [one.path for one in findings]
        assert paths == ["models.n.service", "endpoints.one.models.0"]


class TestReading:
    def test_missing_and_empty_folders(self, tmp_path):
        (finding,) = findings_of(read_folder, tmp_path / "gone")
        assert "can't be read" in finding.message
        (finding,) = findings_of(read_folder, tmp_path)
        assert "no YAML file" in finding.message

    def test_files_that_cannot_be_read_are_reported_together(self, tmp_path):
        (tmp_path / "a.yaml").write_bytes(b"a: 1\nb: \xff\n")
        (tmp_path / "b.yaml").mkdir()
        (tmp_path / "c.yaml").symlink_to(tmp_path / "gone.yaml")
        findings = findings_of(read_folder, tmp_path)
        assert [(one.file, one.line) for one in findings] == [
            ("a.yaml", 2),
            ("b.yaml", 0),
            ("c.yaml", 0),
        ]

    def test_hidden_and_other_files_are_passed_over(self, tmp_path):
        for name in (".hidden.yaml", "README.md", "a.yml"):
            (tmp_path / name).write_text(DEPLOYMENT)
        assert list(read_folder(tmp_path)) == ["a.yml"]


class TestDaemonSettings:
    def test_loads(self, tmp_path):
        (tmp_path / "daemon.yaml").write_text(DAEMON)
        settings = load_daemon_settings(tmp_path)
        assert (settings.name, settings.log_json) == ("d", False)

    @pytest.mark.parametrize(
        ("line", "path"),
        [
            ("seeds: ['127.0.0.1']", "seeds.0"),
            ("seeds: ['host:80']", "seeds.0"),
            ("seeds: ['127.0.0.1:0']", "seeds.0"),
            ("seeds: ['127.0.0.1:70000']", "seeds.0"),
            ("statsd_address: '127.0.0.1'", "statsd_address"),
            ("log_level: LOUD", "log_level"),
            ("action_shards: 0", "action_shards"),
            ("otlp_url: ftp://127.0.0.1", "otlp_url"),
            ("drain_second: 3", "drain_second"),
        ],
    )
    def test_findings(self, tmp_path, line, path):
        (tmp_path / "daemon.yaml").write_text(f"{DAEMON}{line}\n")
        (finding,) = findings_of(load_daemon_settings, tmp_path)
        assert (finding.line, finding.path) == (6, path)

    def test_a_key_never_shows_in_a_finding(self, tmp_path):
        (tmp_path / "daemon.yaml").write_text(f"{DAEMON}peer_keys: [s3cret]\n")
        (finding,) = findings_of(load_daemon_settings, tmp_path)
        assert finding.path == "peer_keys.0"
        assert "s3cret" not in str(finding)


class TestExamples:
    @pytest.mark.parametrize(
        ("name", "service", "engines", "plain"),
        [("riga", "hydro-llm", 10, 5), ("turkey-west", "lm-pool", 6, 3)],
    )
    def test_deployments(self, name, service, engines, plain):
        loaded = load_configuration(read_folder(EXAMPLES / name))
        endpoints = loaded.configuration.endpoints.values()
        counted = [one for one in endpoints if one.service == service]
        assert (len(counted), len(endpoints) - len(counted)) == (engines, plain)
        weights = loaded.configuration.weights
        assert (weights.wasted_cache > weights.latency) == (name == "riga")

    def test_daemons(self):
        folders = [EXAMPLES / "daemon", *sorted((EXAMPLES / "daemons").iterdir())]
        loaded = [load_daemon_settings(path) for path in folders]
        assert len({one.peer_address for one in loaded}) == 6
        known = {one.peer_address for one in loaded}
        assert all(set(one.seeds) < known for one in loaded)
