"""Signals that reach a process while it starts."""

from __future__ import annotations

import pathlib
import shutil
import signal
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[3]
GENEROUS_S = 30.0

SLOW_START = """
import sys, time
print("up", flush=True)
time.sleep(0.3)
sys.exit(0)
"""


def signal_while_starting(command, **options):
    """Sends SIGHUP once a process prints a line; returns its exit code."""
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, **options
    ) as process:
        assert process.stdout.readline()
        process.send_signal(signal.SIGHUP)
        return process.wait(GENEROUS_S)


def test_the_launcher_outlives_a_settings_signal_before_the_daemon_runs(
    tmp_path,
):
    (tmp_path / "deploy").mkdir()
    launcher = tmp_path / "deploy" / "launch.py"
    shutil.copy(ROOT / "deploy" / "launch.py", launcher)
    package = tmp_path / "packages" / "node" / "poplarwick_node"
    package.mkdir(parents=True)
    (package / "__init__.py").write_text("")
    (package / "main.py").write_text(SLOW_START)
    code = signal_while_starting([sys.executable, str(launcher)], env={})
    assert code == 0


def test_the_daemon_outlives_a_settings_signal_before_it_handles_it():
    code = signal_while_starting(
        [
            sys.executable,
            "-c",
            "import sys\n"
            "from poplarwick_node import main\n"
            "def start(parsed):\n"
            "    import time\n"
            "    print('up', flush=True)\n"
            "    time.sleep(0.3)\n"
            "    return 0\n"
            "main._run_on_platform = start\n"
            "sys.exit(main.main(['--platform-settings', 'none']))\n",
        ]
    )
    assert code == 0
