"""What a daemon imports before it serves, and how."""

import gc
import os
import subprocess
import sys

import pytest

from eelgrasslock.imports import CERTIFICATE_VARIABLE, quick_imports

MODULES_OF_OTHER_PATHS = ("eelgrasslock.log.record_codec", "cattrs", "opentelemetry")
LIST_MODULES = "import eelgrasslock.gateway.run, sys; print(*sys.modules, sep='\\n')"


@pytest.fixture(autouse=True)
def _thaw():
    yield
    gc.unfreeze()


class TestQuickImports:
    """Imports without collections and without CA certificates."""

    def test_nothing_is_collected_and_no_certificates_are_read_meanwhile(self):
        with quick_imports():
            assert not gc.isenabled()
            assert os.environ[CERTIFICATE_VARIABLE] == os.devnull

    def test_both_are_as_before_afterwards(self, monkeypatch):
        monkeypatch.delenv(CERTIFICATE_VARIABLE, raising=False)
        with quick_imports():
            pass
        assert gc.isenabled()
        assert CERTIFICATE_VARIABLE not in os.environ

    def test_a_variable_that_was_set_is_put_back(self, monkeypatch):
        monkeypatch.setenv(CERTIFICATE_VARIABLE, "own.pem")
        with quick_imports():
            pass
        assert os.environ[CERTIFICATE_VARIABLE] == "own.pem"

    def test_a_failing_import_leaves_collections_on(self):
        with pytest.raises(ModuleNotFoundError), quick_imports():
            raise ModuleNotFoundError("gone")
        assert gc.isenabled()

    def test_what_was_imported_is_kept_out_of_collections(self):
        with quick_imports():
            pass
        assert gc.get_freeze_count() > 0


class TestImportsOfADaemonThatServesRoutes:
    """A start among many daemons costs mostly its imports."""

    def test_modules_of_the_other_paths_are_not_imported(self):
        listed = subprocess.run(
            [sys.executable, "-c", LIST_MODULES],
            capture_output=True,
            text=True,
            check=True,
        )
        imported = set(listed.stdout.split())
        assert imported.isdisjoint(MODULES_OF_OTHER_PATHS)
