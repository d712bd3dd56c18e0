"""`logs`: what nodes have written, as lines or as the tree of one request."""

from __future__ import annotations

from pathlib import Path

from cloverrouter.cli import logtree, usage


def logs(files: tuple[Path, ...], /, *, request: str | None = None) -> None:
    """Read logs of one or more nodes: all lines in order of time, or the trees of one request or change.

    Exits 0, 1 if nothing mentions the id, 2 if a file can't be read.

    Parameters
    ----------
    files
        What nodes have written to standard output: eliot's JSON lines. Other lines are passed over.
    request
        An attempt id, or any other value: the trees of all tasks that mention it are shown.
    """
    records: list[logtree.Record] = []
    others = 0
    for path in files:
        try:
            found, rest = logtree.read(path.read_text(errors="replace").splitlines())
        except OSError as error:
            raise usage.UsageError(f"{path}: {error.strerror}") from error
        records += found
        others += rest
    if others:
        usage.error_line(f"{others} lines are no log records")
    if request is None:
        for record in sorted(records, key=lambda record: record.timestamp):
            usage.say(logtree.line(record))
        return
    tasks = logtree.tasks(records, request)
    if not tasks:
        raise usage.CommandFailed(f"no record among {len(records)} mentions {request}")
    for task in tasks:
        usage.say("\n".join(logtree.tree(task)))
