"""Keeps the process of the tests from holding itself up, and says if it was."""

import gc
import time

import pytest

from hold_ups import hold_ups


def pytest_sessionstart():
    hold_ups.start()


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
