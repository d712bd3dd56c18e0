"""Steps for reading logs: the files are written by eliot itself."""

from __future__ import annotations

import re
from typing import Any

import eliot
from behave import given, then, when

from tests.command_line import run


class CutShort(BaseException):
    """Stands for the end of a process inside an action."""


def _log_path(context: Any, node: str) -> Any:
    return context.folder / f"{node}.log"


def _write_request(context: Any, node: str, request: str, instance: str, status: int | None) -> None:
    with _log_path(context, node).open("w") as file:
        destination = eliot.FileDestination(file=file)
        eliot.add_destinations(destination)
        try:
            action = eliot.start_action(action_type="request", node=node, attempt_id=request)
            with action.context():
                attempt = eliot.start_action(action_type="attempt", node=node, instance=instance)
                if status is not None:
                    attempt.finish()
            if status is not None:
                action.add_success_fields(status=status)
                action.finish()
        finally:
            eliot.remove_destination(destination)


@given(
    'a log of node "{node}" with a request "{request}" that is sent to "{instance}" and answered {status:d}'
)
def a_log_of_an_answered_request(context: Any, node: str, request: str, instance: str, status: int) -> None:
    _write_request(context, node, request, instance, status)


@given('a log of node "{node}" with a request "{request}" that is sent to "{instance}" and cut short')
def a_log_of_a_request_cut_short(context: Any, node: str, request: str, instance: str) -> None:
    _write_request(context, node, request, instance, None)


@given('the log of "{node}" ends with half a line')
def the_log_ends_with_half_a_line(context: Any, node: str) -> None:
    path = _log_path(context, node)
    path.write_text(path.read_text() + '{"task_uuid": "x", "task_le')


@when('the logs are read for "{request}"')
def the_logs_are_read(context: Any, request: str) -> None:
    files = [str(path) for path in sorted(context.folder.glob("*.log"))]
    context.code, context.said = run("logs", *files, "--request", request)


@then("the exit code is {code:d}")
def the_exit_code_is(context: Any, code: int) -> None:
    assert context.code == code, context.said


@then("what is shown reads")
def what_is_shown_reads(context: Any) -> None:
    assert _without_times(context.said) == context.text.strip(), context.said


@then('it says "{text}"')
def it_says(context: Any, text: str) -> None:
    assert text in context.said, context.said


def _without_times(text: str) -> str:
    """Without dates, spans and the tasks' ids, which differ from run to run."""
    text = re.sub(r"^\S+ \S+  (\S+)  task \S+$", r"task  \1", text, flags=re.MULTILINE)
    text = re.sub(r"  \+[\d.]+ ms| after [\d.]+ ms", "", text)
    return text.strip()
