"""The `logs` command: prints the logs of nodes as lines, or as the tree of one request."""

from __future__ import annotations

from pathlib import Path

from cloverrouter.cli import logtree, usage


def logs(files: tuple[Path, ...], /, *, request: str | None = None) -> None:
    """Print the logs of nodes: all records in order of time, or the task trees of one request or change.

    Exits 0, 1 if no record mentions the id, 2 if a file can't be read.

    Parameters
    ----------
    files
        Standard output of nodes: eliot's JSON lines. Other lines are ignored.
    request
        An attempt id or any other field value: shows the trees of all tasks with a record that has it.
    """
    records: list[logtree.Record] = []
    ignored_lines = 0
    for path in files:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise usage.UsageError(f"{path}: {error.strerror}") from error
        # Not splitlines(): names in a record may hold other line separators, such as U+2028.
        file_records, ignored_in_file = logtree.read(text.split("\n"))
        records += file_records
        ignored_lines += ignored_in_file
    if ignored_lines:
        usage.print_error(f"{ignored_lines} lines are no log records")
    if request is None:
        for record in sorted(records, key=lambda record: record.timestamp):
            usage.print_line(logtree.line(record))
        return
    tasks = logtree.tasks(records, request)
    if not tasks:
        raise usage.CommandFailed(f"no record among {len(records)} mentions {request}")
    for task in tasks:
        usage.print_line("\n".join(logtree.tree(task)))
