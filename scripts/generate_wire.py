"""Regenerates the gRPC modules from packages/peers/proto.

Requires the packages in requirements-generate.txt.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PEERS = ROOT / "packages" / "peers"
PROTO = PEERS / "proto"


def main() -> int:
    """Runs the generator for all .proto files.

    Returns:
        The exit code of the generator.
    """
    files = sorted(str(p.relative_to(PROTO)) for p in PROTO.rglob("*.proto"))
    command = [
        sys.executable,
        "-m",
        "grpc_tools.protoc",
        f"--proto_path={PROTO}",
        f"--python_out={PEERS}",
        f"--pyi_out={PEERS}",
        f"--grpclib_python_out={PEERS}",
        *files,
    ]
    return subprocess.run(command, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
