"""What tests take from the machine is theirs alone."""

import os
import pathlib
import subprocess
import sys

from processes import Processes, free_ports

TAKE_ALL = """
import processes
while processes._take_block():
    pass
print(*processes._blocks)
"""


class TestPorts:
    def test_two_runs_do_not_take_ports_of_the_same_block(self):
        ports = free_ports(3)
        run = subprocess.run(
            [sys.executable, "-c", TAKE_ALL],
            env={**os.environ, "PYTHONPATH": str(pathlib.Path(__file__).parent)},
            capture_output=True,
            check=True,
            text=True,
        )
        others = [int(one) for one in run.stdout.split()]
        assert len(set(ports)) == 3
        assert not any(0 <= port - first < 1_500 for port in ports for first in others)

    def test_no_port_is_given_out_twice_in_a_row(self):
        ports = [port for _ in range(300) for port in free_ports(1)]
        assert len(set(ports)) == 300


class TestSessions:
    async def test_stopped_daemons_outlive_the_shell_of_the_tests(self, tmp_path):
        async with Processes(tmp_path) as processes:
            standin = await processes.standin("log")
            assert os.getsid(standin.pid) == standin.pid
