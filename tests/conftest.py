"""Keeps the process of the tests from holding itself up, and says if it was."""

import gc
import pathlib
import re
import time

import pytest

from hold_ups import hold_ups

KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
# An entry that begins with the whole id of a test; others are red at times only.
RED_TEST = re.compile(r"^(tests/\S+\.py::\S+): ", re.MULTILINE)


def pytest_sessionstart():
    hold_ups.start()


def pytest_collection_modifyitems(config, items):
    """Pass over the tests that are listed as red by their whole ids, and print them."""
    listed = set(RED_TEST.findall(KNOWN_RED.read_text()))
    red = [item for item in items if item.nodeid in listed]
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=red)
    for item in red:
        print(f"Known red, passed over: {item.nodeid}")


def pytest_collection_finish():
    """Leave what was collected out of full garbage collections, which took 0.26 s."""
    leave_out_of_collections()


def pytest_runtest_teardown(item, nextitem):
    """Leave what a file's tests left behind out as well; it took 0.43 s in the end."""
    if nextitem is None or nextitem.path != item.path:
        leave_out_of_collections()


def leave_out_of_collections():
    gc.collect()
    gc.freeze()


def pytest_sessionfinish():
    hold_ups.stop()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(call):
    report = yield
    lines = hold_ups.since(time.monotonic() - (time.time() - call.start))
    if report.failed and lines:
        report.sections.append(("The process", "\n".join(lines)))
    return report
