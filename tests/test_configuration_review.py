"""A check of a configuration before it is sent."""

import json

import pytest
from click.testing import CliRunner

from eelgrasslock.operators.cli import main
from platform_fleet import configuration
from test_workspaces import TENANTS, with_tenants


def changed(**more):
    """Return a document with some fields of its parts replaced."""
    document = json.loads(json.dumps(with_tenants()))
    for part, number, fields in more.get("parts", []):
        document[part][number].update(fields)
    return document


class TestCheck:
    def run(self, tmp_path, document, *arguments):
        file = tmp_path / "config.json"
        file.write_text(json.dumps(document))
        result = CliRunner().invoke(main, ["check-routes", str(file), *arguments])
        return result.exit_code, result.output

    def findings(self, tmp_path, document):
        code, output = self.run(tmp_path, document, "--json")
        findings = json.loads(output)["findings"]
        assert code == (1 if findings else 0)
        return [(one["path"], one["message"]) for one in findings]

    @pytest.mark.parametrize("document", [configuration(), with_tenants()])
    def test_a_good_document_has_none(self, tmp_path, document):
        assert self.findings(tmp_path, document) == []

    @pytest.mark.parametrize(
        ("part", "number", "fields", "path", "words"),
        [
            ("routes", 1, {"pathPrefix": "/turns/"}, "routes.0", "Never matches"),
            ("routes", 1, {"pathPrefix": "/turns"}, "routes.1", "slash"),
            ("routes", 1, {"host": "h:80"}, "routes.1", "without their port"),
            ("routes", 1, {"service": "none"}, "routes.1", "not among the services"),
            ("routes", 1, {"maxAttempts": 0}, "routes.1", "no endpoint at all"),
            ("routes", 1, {"targetLatencyMs": 9_000}, "routes.1", "longer than"),
            ("routes", 0, {"gapAimMs": 9_000}, "routes.0", "longer than its timeout"),
            ("routes", 1, {"resumable": True}, "routes.1", "no effect"),
            ("services", 0, {"maxConns": 2}, "services.0", "fewer connections"),
            ("tenants", 0, {"apiKeys": []}, "workspaces.0", "no key"),
            ("tenants", 0, {"burst": 4}, "workspaces.0", "without a rate"),
            ("tenants", 1, {"apiKeys": ["second-key"]}, "workspaces.1", "of one, too"),
            ("tenants", 1, {"name": "one"}, "workspaces.1", "stands twice"),
        ],
    )
    def test_each_fault_is_named_with_its_place(
        self, tmp_path, part, number, fields, path, words
    ):
        document = changed(parts=[(part, number, fields)])
        found = self.findings(tmp_path, document)
        assert any(one == path and words in message for one, message in found), found

    def test_a_service_without_weight_and_one_without_route(self, tmp_path):
        split = [{"service": "desk", "weight": 1}, {"service": "models", "weight": 0}]
        document = changed(parts=[("routes", 1, {"trafficSplit": split})])
        document["services"].append({"name": "idle", "healthPath": "/"})
        paths = [path for path, _ in self.findings(tmp_path, document)]
        assert paths == ["routes.1", "services.2"]

    def test_errors_are_named_first(self, tmp_path):
        document = changed(parts=[("routes", 0, {"kind": "fast"})])
        assert self.findings(tmp_path, document)[0][0] == "routes.0"


class TestChanges:
    def changes(self, tmp_path, before, after):
        old = tmp_path / "old.json"
        old.write_text(json.dumps(before))
        file = tmp_path / "new.json"
        file.write_text(json.dumps(after))
        arguments = ["check-routes", str(file), "--against", str(old)]
        return CliRunner().invoke(main, arguments).output

    def test_nothing_differs(self, tmp_path):
        output = self.changes(tmp_path, with_tenants(), with_tenants(version=2))
        assert output.count("\n") == 1

    def test_entries_and_fields(self, tmp_path):
        after = changed(parts=[("routes", 1, {"timeoutMs": 2_000})])
        after["routes"].pop(3)
        after["limits"]["maxBodyBytes"] = 5
        after["tenants"][1]["ratePerS"] = 9
        after["tenants"].append({"name": "three", "apiKeys": ["a new key"]})
        output = self.changes(tmp_path, with_tenants(), after)
        assert "route lookups: timeout_seconds 4.0 -> 2.0" in output
        assert "route public: removed" in output
        assert "limits: max_body_bytes 100000 -> 5" in output
        assert "workspace two: requests_per_second 50.0 -> 9.0" in output
        assert "workspace three: added" in output

    def test_keys_are_counted_and_not_shown(self, tmp_path):
        after = with_tenants(tenants=[{**TENANTS[0], "apiKeys": ["secret"]}])
        output = self.changes(tmp_path, with_tenants(), after)
        assert "workspace one: keys 2 removed -> 1 added" in output
        assert "secret" not in output
