"""Commands that call a node's control-plane address: their requests, output and errors."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest

from cloverrouter.cli import config
from tests.command_line import run

CURRENT = {
    "version": 5,
    "route-table": [{"name": "r1", "timeout-ms": 100}, {"name": "r2", "timeout-ms": 200}],
    "backends": [{"name": "b"}],
}


HANG_UP = 0  # scripted as a status: close the connection without an answer


class ScriptedNode:
    """An HTTP server. Calls other than GET get the next answer of the script, if one is left; all others get
    the document at the path, or 404."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str, str | None, Any]] = []
        self.script: list[tuple[int, Any]] = []
        self.documents: dict[str, Any] = {"/-/configuration": CURRENT}
        node = self

        class Handler(BaseHTTPRequestHandler):
            def answer(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                received = json.loads(body) if body else None
                node.calls.append((self.command, self.path, self.headers.get("If-Match"), received))
                if self.command != "GET" and node.script:
                    status, document = node.script.pop(0)
                else:
                    is_known = self.path in node.documents
                    status, document = (
                        (200, node.documents[self.path]) if is_known else (404, {"error-message": "no"})
                    )
                if status == HANG_UP:
                    self.close_connection = True
                    return
                encoded = json.dumps(document).encode()
                self.send_response(status)
                if status == 307:
                    self.send_header("Location", document)
                self.send_header("Content-Length", str(len(encoded)))
                self.end_headers()
                self.wfile.write(encoded)

            do_GET = do_PUT = do_PATCH = answer

            def log_message(self, format: str, *args: Any) -> None:
                pass

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_port}"
        self._thread = threading.Thread(target=self._server.serve_forever, kwargs={"poll_interval": 0.01})
        self._thread.start()

    def close(self) -> None:
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()


@pytest.fixture
def node(monkeypatch: pytest.MonkeyPatch) -> Iterator[ScriptedNode]:
    monkeypatch.setattr(config, "BACKOFF_STEP_S", 0.0)
    scripted = ScriptedNode()
    yield scripted
    scripted.close()


def write(path: Path, value: Any) -> str:
    path.write_text(json.dumps(value))
    return str(path)


def test_status_and_view_are_shown(node: ScriptedNode) -> None:
    node.documents["/-/status"] = {"name": "edge-1", "ready": True, "figures": {"requests": 3}}
    code, text = run("status", "--node", node.address)
    assert code == 0 and text.splitlines() == [
        "name     edge-1",
        "ready    true",
        "figures:",
        "  requests  3",
    ]
    code, text = run("status", "--node", node.address, "--json")
    assert json.loads(text) == node.documents["/-/status"]
    node.documents["/-/view"] = {"epoch": [3, "a"], "chain": ["a", "b"]}
    assert "chain  a, b" in run("view", "--node", node.address)[1]


def test_the_address_may_come_from_the_environment(
    node: ScriptedNode, monkeypatch: pytest.MonkeyPatch
) -> None:
    node.documents["/-/history"] = [{"version": 3, "at": 1796187846.5}, {"version": 5, "at": "then"}]
    monkeypatch.setenv("CYPRESSWINCH_NODE", node.address)
    code, text = run("history")
    assert code == 0 and text.splitlines() == ["version  at", "3        2026-12-02 05:04:06", "5        then"]
    monkeypatch.delenv("CYPRESSWINCH_NODE")
    code, text = run("history")
    assert code == 2 and "--node" in text


def test_servers_are_a_table(node: ScriptedNode) -> None:
    node.documents["/-/instances"] = {"i-1": {"backend": "b", "state": "ready"}}
    code, text = run("servers", "--node", node.address)
    assert code == 0 and text.splitlines()[1].split() == ["i-1", "b", "ready"]


def test_a_request_is_traced_or_unknown(node: ScriptedNode) -> None:
    node.documents["/-/trace/a%2F1"] = {"request": "a/1", "attempts": [{"instance": "i-1", "status": 200}]}
    code, text = run("trace", "a/1", "--node", node.address)
    assert code == 0 and "i-1" in text
    code, text = run("trace", "other", "--node", node.address)
    assert code == 1 and "status 404: no" in text


def test_configuration_is_shown_and_compared(node: ScriptedNode, tmp_path: Path) -> None:
    code, text = run("config", "show", "--node", node.address, "--json")
    assert code == 0 and json.loads(text) == CURRENT
    same = write(tmp_path / "same.json", {**CURRENT, "version": 9})
    code, text = run("config", "diff", same, "--node", node.address)
    assert code == 0 and text == "version: 5 -> 9\n"
    other = {**CURRENT, "route-table": [{"name": "r2", "timeout-ms": 250}, {"name": "r3"}]}
    code, text = run("config", "diff", write(tmp_path / "other.json", other), "--node", node.address)
    assert code == 1 and text.splitlines() == [
        "- route-table r1",
        '+ route-table r3: {"name": "r3"}',
        "~ route-table r2: timeout-ms 200 -> 250",
    ]


def test_a_whole_configuration_uses_put_and_a_change_uses_patch(node: ScriptedNode, tmp_path: Path) -> None:
    whole, change = {**CURRENT, "version": 7}, {"version": 8, "delete": {"route-table": ["r1"]}}
    node.script = [(200, None), (200, None)]
    code, text = run("config", "apply", write(tmp_path / "w.json", whole), "--node", node.address)
    assert code == 0 and "version 7 is in force" in text
    assert node.calls[-1] == ("PUT", "/-/configuration", "5", whole)
    file = write(tmp_path / "c.json", change)
    assert run("config", "apply", file, "--node", node.address, "--if-match", "7")[0] == 0
    assert node.calls[-1] == ("PATCH", "/-/configuration", "7", change)


def test_the_first_configuration_is_based_on_version_0(node: ScriptedNode, tmp_path: Path) -> None:
    node.documents.clear()
    node.script = [(200, None)]
    assert run("config", "apply", write(tmp_path / "w.json", CURRENT), "--node", node.address)[0] == 0
    assert node.calls[-1][2] == "0"


@pytest.mark.parametrize(
    ("script", "code", "expected"),
    [
        ([(412, {"error-message": "5 is current"})], 1, "another version than 5 is in force"),
        (
            [(400, {"error-message": "2 findings", "findings": ["route-table[0]: a", "backends: b"]})],
            2,
            "status 400: 2 findings\n  route-table[0]: a\n  backends: b",
        ),
        ([(503, None), (503, None), (200, None)], 0, "version 5 is in force"),
        ([(503, {"error-message": "no head"})] * 4, 1, "may or may not be in force"),
    ],
)
def test_failed_changes_are_reported(
    node: ScriptedNode, tmp_path: Path, script: list[tuple[int, Any]], code: int, expected: str
) -> None:
    node.script = list(script)
    exit_code, text = run("config", "apply", write(tmp_path / "w.json", CURRENT), "--node", node.address)
    assert exit_code == code and expected in text
    assert node.script == []


def test_a_change_without_an_answer_is_retried_only_by_the_command(
    node: ScriptedNode, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """urllib3 must not retry by itself: its retries would be unreported and exceed the command's limit."""
    monkeypatch.setattr(config, "MAX_ATTEMPTS", 2)
    node.script = [(HANG_UP, None)] * 9
    code, _ = run("config", "apply", write(tmp_path / "new.json", {"version": 7}), "--node", node.address)
    assert code == 1
    requests = [call for call in node.calls if call[0] == "PUT"]
    assert requests == [("PUT", "/-/configuration", "5", {"version": 7})] * 2


def test_redirects_are_followed_with_the_same_request(node: ScriptedNode, tmp_path: Path) -> None:
    node.script = [(307, f"http://{node.address}/-/configuration"), (200, None)]
    assert run("config", "apply", write(tmp_path / "w.json", CURRENT), "--node", node.address)[0] == 0
    assert node.calls[-1] == node.calls[-2] == ("PUT", "/-/configuration", "5", CURRENT)


def test_unreachable_nodes_and_unreadable_files_are_reported(node: ScriptedNode, tmp_path: Path) -> None:
    node.close()
    code, text = run("status", "--node", node.address)
    assert code == 1 and f"{node.address}: connection refused" in text
    code, text = run("status", "--node", "nowhere")
    assert code == 2 and "found 'nowhere', allowed is HOST:PORT" in text
    code, text = run("config", "diff", str(tmp_path / "none.json"), "--node", node.address)
    assert code in (1, 2)
    (tmp_path / "bad.json").write_text("{")
    code, text = run("config", "apply", str(tmp_path / "bad.json"), "--node", node.address)
    assert code == 2 and "not valid JSON" in text


def test_a_trace_is_asked_for_by_the_bytes_of_its_id(node: ScriptedNode) -> None:
    node.documents["/-/trace/%E0%A4%B2%FF"] = {"tenant": "ललितपुर"}
    code, text = run("trace", "ल\udcff", "--node", node.address)
    assert (code, text) == (0, "tenant  ललितपुर\n")


def test_control_characters_of_names_are_printed_as_escapes(node: ScriptedNode) -> None:
    node.documents["/-/instances"] = {"instances": [{"id": "i-1", "zone": "a\n\x1b[2J\u2028ल"}]}
    code, text = run("servers", "--node", node.address)
    assert code == 0 and len(text.splitlines()) == 3
    assert '"a\\n\\u001b[2J\\u2028\\u0932"' in text


def test_files_and_output_do_not_depend_on_the_locale(node: ScriptedNode, tmp_path: Path) -> None:
    """With an ASCII locale, a file with other names could not be read, and `show` ended with an error."""
    file = tmp_path / "new.json"
    document = {"version": 6, "tenants": [{"name": "ललितपुर"}]}
    file.write_text(json.dumps(document, ensure_ascii=False), encoding="utf-8")
    node.documents["/-/configuration"] = document
    environment = {"PATH": os.environ["PATH"], "LC_ALL": "C", "PYTHONUTF8": "0", "PYTHONCOERCECLOCALE": "0"}
    outputs = []
    for words in (("apply", str(file)), ("show",)):
        command = [sys.executable, "-m", "cloverrouter", "config", *words, "--node", node.address]
        done = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=60)
        assert (done.returncode, done.stderr) == (0, "")
        outputs.append(done.stdout)
    assert node.calls[1][3] == document
    assert "\\u0932" in outputs[1]


def test_records_of_logs_may_hold_other_line_separators(tmp_path: Path) -> None:
    """Such a record was split, and passed over as two lines that are no records."""
    record = {
        "task_uuid": "1",
        "task_level": [1],
        "timestamp": 1.0,
        "message_type": "m",
        "tenant": "a\u2028b\x85c",
    }
    file = tmp_path / "edge-1.log"
    file.write_text(json.dumps(record, ensure_ascii=False) + "\n", encoding="utf-8")
    code, text = run("logs", str(file), "--request", "a\u2028b\x85c")
    assert code == 0 and "no log records" not in text
    assert len(text.splitlines()) == 2 and 'tenant="a\\u2028b\\u0085c"' in text
