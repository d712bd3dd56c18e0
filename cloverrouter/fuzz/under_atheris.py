"""The process in which atheris plays one target: it ends with the last input.

    python -m cloverrouter.fuzz.under_atheris TARGET FOLDER LIBFUZZER_OPTION... CORPUS

A finding is kept in the first folder, what is new for the coverage in the last, and the run goes on; only
what ends the process ends the run early.
"""

from __future__ import annotations

import sys
from pathlib import Path
from random import Random

import atheris

PROGRAM = "cloverrouter"
TOOLS = "cloverrouter.fuzz"
MAX_CHAIN = 4
OWN_MUTATOR_SHARE = 0.8


def main(name: str, folder: Path, options: list[str]) -> None:
    """Plays the target; does not come back."""
    with atheris.instrument_imports(include=[PROGRAM], exclude=[TOOLS]):
        from cloverrouter.fuzz.plain import Findings
        from cloverrouter.fuzz.report import keep
        from cloverrouter.fuzz.targets import TARGETS

        target = TARGETS[name]()
        target.check(target.seeds()[0])  # loads what is only loaded when it is called
    findings = Findings()

    def check(data: bytes) -> None:
        found = findings.check(target, data)
        if found is not None:
            keep(folder, name, found)

    def mutate(data: bytes, max_size: int, seed: int) -> bytes:
        random = Random(seed)
        if random.random() > OWN_MUTATOR_SHARE:
            return bytes(atheris.Mutate(data, max_size))
        for _ in range(random.randrange(1, MAX_CHAIN)):
            data = target.mutate(data, random)
        return data[:max_size]

    corpus = Path(options[-1])
    for number, seed in enumerate(target.seeds()):
        (corpus / f"seed-{number:04}").write_bytes(seed)
    atheris.Setup([sys.argv[0], *options], check, custom_mutator=mutate)
    atheris.Fuzz()


if __name__ == "__main__":
    main(sys.argv[1], Path(sys.argv[2]), sys.argv[3:])
