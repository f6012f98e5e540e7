"""Tests for signals received while a process starts.

SIGHUP, which announces changed settings, ends a process that neither handles
nor ignores it yet. The launcher and the daemon must survive it at any time.
"""

from __future__ import annotations

import pathlib
import shutil
import signal
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[3]
EXIT_TIMEOUT_S = 30.0

SLOW_START = """
import sys, time
print("up", flush=True)
time.sleep(0.3)
sys.exit(0)
"""


def send_sighup_while_starting(command, **options):
    """Sends SIGHUP after a process prints a line; returns its exit code."""
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, **options
    ) as process:
        assert process.stdout.readline()
        process.send_signal(signal.SIGHUP)
        return process.wait(EXIT_TIMEOUT_S)


def test_launcher_survives_sighup_before_the_daemon_runs(
    tmp_path,
):
    (tmp_path / "deploy").mkdir()
    launcher = tmp_path / "deploy" / "launch.py"
    shutil.copy(ROOT / "deploy" / "launch.py", launcher)
    package = tmp_path / "packages" / "node" / "poplarwick_node"
    package.mkdir(parents=True)
    (package / "__init__.py").write_text("")
    (package / "main.py").write_text(SLOW_START)
    code = send_sighup_while_starting([sys.executable, str(launcher)], env={})
    assert code == 0


def test_daemon_survives_sighup_before_its_handler_is_installed():
    code = send_sighup_while_starting(
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
