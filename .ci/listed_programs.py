"""Lays starters of the programs that the deploy file's `packages`, and what these need, bring; nothing else.

With that folder as PATH, a script that calls a program of a package that isn't listed fails: "not found".
Run by the system's own python3; needs the standard library only.

    python3 .ci/listed_programs.py FOLDER
"""

import re
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

PROGRAM_FOLDERS = ("/usr/bin", "/bin")
INSTALLED = "ii"
FIELDS = "${db:Status-Abbrev}\t${Package}\t${Provides}\t${Pre-Depends}, ${Depends}\n"


class Installed:
    """What dpkg says is installed: names, what they provide, and what they depend on."""

    def __init__(self) -> None:
        self._dependencies: dict[str, str] = {}
        self._providers: dict[str, set[str]] = {}
        for line in output("dpkg-query", "-W", "-f", FIELDS).splitlines():
            status, name, provides, dependencies = line.split("\t")
            if status.strip() != INSTALLED:
                continue
            self._dependencies[name] = dependencies
            for provided in (name, *names(provides)):
                self._providers.setdefault(provided, set()).add(name)

    def missing(self, wanted: list[str]) -> list[str]:
        return [name for name in wanted if name not in self._dependencies]

    def with_dependencies(self, wanted: list[str]) -> set[str]:
        """These packages and all that they can't be installed without; recommendations don't count."""
        found: set[str] = set()
        left = list(wanted)
        while left:
            package = left.pop()
            if package not in found:
                found.add(package)
                left += [
                    provider
                    for name in names(self._dependencies[package])
                    for provider in self._providers.get(name, ())
                ]
        return found


def output(*command: str) -> str:
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout


def names(relation: str) -> list[str]:
    """The names in a field like `a (>= 1), b | c:any`."""
    parts = (part.strip() for part in re.split(r"[,|]", relation))
    return [re.split(r"[\s:(]", part)[0] for part in parts if part]


def programs(packages: set[str]) -> set[Path]:
    """The files of these packages that lie in a folder of programs."""
    files = (Path(line) for line in output("dpkg", "-L", *sorted(packages)).splitlines())
    return {file for file in files if str(file.parent) in PROGRAM_FOLDERS}


def main(folder: Path) -> None:
    with open("deploy/system.toml", "rb") as file:
        listed = tomllib.load(file)["packages"]
    installed = Installed()
    missing = installed.missing(listed)
    if missing:
        sys.exit(f"deploy/system.toml lists packages that aren't installed: {' '.join(missing)}")
    packages = installed.with_dependencies(listed)
    found = programs(packages)
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    for program in found:
        starter = folder / program.name
        starter.write_text(f'#!/bin/sh\nexec {program} "$@"\n')
        starter.chmod(0o755)
    print(f"packages: {len(listed)} listed, {len(packages)} with what they need, {len(found)} programs")


if __name__ == "__main__":
    main(Path(sys.argv[1]))
