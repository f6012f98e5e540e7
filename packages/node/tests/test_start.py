"""Tests for signals and bytecode while a process starts.

SIGHUP, which announces changed settings, ends a process that neither handles
nor ignores it yet. The launcher and the daemon must survive it at any time.

Bytecode of the build that does not match its source must not run.
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
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    launcher = tmp_path / "deploy" / "launch.py"
    package = tmp_path / "packages" / "node" / "poplarwick_node"
    package.mkdir(parents=True)
    (package / "__init__.py").write_text("")
    (package / "platform_main.py").write_text(SLOW_START)
    code = send_sighup_while_starting(
        [sys.executable, str(launcher), "none"], env={}
    )
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


def make_checkout(folder, source):
    shutil.copytree(ROOT / "deploy", folder / "deploy")
    package = folder / "packages" / "node" / "poplarwick_node"
    package.mkdir(parents=True)
    (package / "__init__.py").write_text("")
    (package / "platform_main.py").write_text(source)
    run_checkout(folder, "bytecode.py")
    return package / "platform_main.py"


def run_checkout(folder, program):
    completed = subprocess.run(
        [sys.executable, str(folder / "deploy" / program), "none"],
        capture_output=True,
        text=True,
        timeout=EXIT_TIMEOUT_S,
    )
    return completed.stdout.strip()


def test_bytecode_of_the_build_is_used_while_it_matches_its_source(tmp_path):
    make_checkout(tmp_path, "print('built'); raise SystemExit")
    (compiled,) = tmp_path.glob("target/bytecode/**/platform_main.*.pyc")
    # The same hash with another constant tells which of the two has run.
    compiled.write_bytes(compiled.read_bytes().replace(b"built", b"taken"))
    assert run_checkout(tmp_path, "launch.py") == "taken"


def test_source_that_changed_after_the_build_runs(tmp_path):
    source = make_checkout(tmp_path, "print('built'); raise SystemExit")
    source.write_text("print('newer'); raise SystemExit")
    assert run_checkout(tmp_path, "launch.py") == "newer"


def test_unreadable_bytecode_is_not_used(tmp_path):
    make_checkout(tmp_path, "print('built'); raise SystemExit")
    (compiled,) = tmp_path.glob("target/bytecode/**/platform_main.*.pyc")
    compiled.write_bytes(b"")
    assert run_checkout(tmp_path, "launch.py") == "built"
