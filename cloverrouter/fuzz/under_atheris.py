"""Child process in which atheris fuzzes one target; it exits after the last input.

    python -m cloverrouter.fuzz.under_atheris TARGET FOLDER LIBFUZZER_OPTION... CORPUS

FOLDER receives the findings and CORPUS the inputs that add coverage. The run continues after a finding; only
a crash of the process, or one of libFuzzer's own limits, ends it early.
"""

from __future__ import annotations

import sys
from pathlib import Path
from random import Random

import atheris

CODE_UNDER_TEST = "cloverrouter"
FUZZER_PACKAGE = "cloverrouter.fuzz"
MUTATIONS_END = 4  # exclusive upper bound
TARGET_MUTATOR_SHARE = 0.8


def main(name: str, folder: Path, options: list[str]) -> None:
    """Fuzzes the target; does not return, because atheris exits the process."""
    with atheris.instrument_imports(include=[CODE_UNDER_TEST], exclude=[FUZZER_PACKAGE]):
        from cloverrouter.fuzz.plain import Findings
        from cloverrouter.fuzz.report import save_finding
        from cloverrouter.fuzz.targets import TARGETS

        target = TARGETS[name]()
        target.check(target.seeds()[0])  # triggers lazy imports while instrumentation is on
    findings = Findings()

    def check(data: bytes) -> None:
        finding = findings.check(target, data)
        if finding is not None:
            save_finding(folder, name, finding)

    def mutate(data: bytes, max_size: int, seed: int) -> bytes:
        random = Random(seed)
        if random.random() > TARGET_MUTATOR_SHARE:
            return bytes(atheris.Mutate(data, max_size))
        for _ in range(random.randrange(1, MUTATIONS_END)):
            data = target.mutate(data, random)
        return data[:max_size]

    corpus = Path(options[-1])
    for number, seed in enumerate(target.seeds()):
        (corpus / f"seed-{number:04}").write_bytes(seed)
    atheris.Setup([sys.argv[0], *options], check, custom_mutator=mutate)
    atheris.Fuzz()


if __name__ == "__main__":
    main(sys.argv[1], Path(sys.argv[2]), sys.argv[3:])
