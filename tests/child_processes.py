"""Processes of tests that end with the run that started them, however that ends."""

import ctypes
import signal

SET_PARENT_DEATH_SIGNAL = 1
LIBC = ctypes.CDLL(None)


def end_with_parent():
    """Let the kernel end this process once its parent is gone."""
    LIBC.prctl(SET_PARENT_DEATH_SIGNAL, signal.SIGKILL)
