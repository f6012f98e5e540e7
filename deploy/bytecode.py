"""Compiles the packages of a checkout at its build and imports them at a start.

The checkout is read-only where instances run, so that Python could not keep
bytecode itself and would compile all modules at each start. Bytecode of the
dependencies is stored beside them under `target/deps`, that of the packages of
the checkout under `target/bytecode`. Entries of the packages carry a hash of
their source: one that does not match is not used.
"""

from __future__ import annotations

import importlib.abc
import importlib.machinery
import importlib.util
import marshal
import os
import pathlib
import sys
import types
from collections.abc import Sequence

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPENDENCIES = ROOT / "target" / "deps"
BYTECODE = ROOT / "target" / "bytecode"
PREFIX = "poplarwick_"

HASH_OFFSET = 8
"""Offset of the source's hash in a compiled file (PEP 552)."""

CODE_OFFSET = 16
"""Offset of the code in a compiled file."""


def find_packages() -> dict[str, pathlib.Path]:
    """Returns the folders of the checkout's packages by name."""
    folders = [ROOT / "platform", *ROOT.glob("packages/*")]
    return {
        package.name: package
        for folder in folders
        for package in folder.glob(f"{PREFIX}*")
    }


def get_bytecode_path(source: str) -> str:
    """Returns where the bytecode of a module of the checkout is stored.

    Paths are strings because this runs for a hundred modules at a start.

    Args:
        source: Path of the module under `ROOT`.
    """
    relative = source.removeprefix(str(ROOT)).removesuffix(".py")
    return f"{BYTECODE}{relative}.{sys.implementation.cache_tag}.pyc"


class BytecodeLoader(importlib.machinery.SourceFileLoader):
    """Loads a module from the bytecode of the build if it is up to date."""

    def get_code(self, fullname: str) -> types.CodeType | None:
        """Returns the code of a module; compiles it if there is no bytecode."""
        source_path = self.get_filename(fullname)
        try:
            bytecode = self.get_data(get_bytecode_path(source_path))
        except OSError:
            return super().get_code(fullname)
        source_hash = importlib.util.source_hash(self.get_data(source_path))
        if (
            not bytecode.startswith(importlib.util.MAGIC_NUMBER)
            or bytecode[HASH_OFFSET:CODE_OFFSET] != source_hash
        ):
            return super().get_code(fullname)
        code: types.CodeType = marshal.loads(memoryview(bytecode)[CODE_OFFSET:])
        return code


class CheckoutFinder(importlib.abc.MetaPathFinder):
    """Finds the packages of the checkout.

    One finder by name is quicker than a folder on the path for each package,
    in which Python would look for every other module too.
    """

    def __init__(self) -> None:
        self._packages = find_packages()

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: types.ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Returns the spec of a module of the checkout; None for others."""
        del path, target
        name, *parts = fullname.split(".")
        package = self._packages.get(name)
        if package is None:
            return None
        location = os.path.join(package, *parts)
        is_package = os.path.isdir(location)
        source = (
            os.path.join(location, "__init__.py")
            if is_package
            else f"{location}.py"
        )
        if not os.path.isfile(source):
            return None
        return importlib.util.spec_from_file_location(
            fullname,
            source,
            loader=BytecodeLoader(fullname, source),
            submodule_search_locations=[location] if is_package else None,
        )


def install_finder() -> None:
    """Makes the packages of the checkout importable."""
    sys.meta_path.insert(0, CheckoutFinder())


def main() -> int:
    """Compiles everything.

    Returns:
        The exit code.
    """
    import compileall
    import py_compile

    # Dependencies may contain files for other versions of Python, which do not
    # compile; the others are not affected.
    compileall.compile_dir(
        DEPENDENCIES,
        quiet=2,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    for package in find_packages().values():
        for source in package.glob("**/*.py"):
            py_compile.compile(
                str(source),
                cfile=get_bytecode_path(str(source)),
                doraise=True,
                invalidation_mode=py_compile.PycInvalidationMode.CHECKED_HASH,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
