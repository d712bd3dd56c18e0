"""The demo's nodes: their settings files are what the daemon reads, and their processes come and go."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from cloverrouter.control.document import ConfigurationState
from cloverrouter.control.review import review_document, review_patch
from cloverrouter.daemon.settings import read
from cloverrouter.lab.fleet import deployment, nodes
from cloverrouter.lab.fleet.judge import differences
from cloverrouter.lab.fleet.operator import apply_patch

SPECS = deployment.nodes("127.31.250")
FLEET = deployment.fleet_settings(SPECS)
ENDS_WHEN_TOLD = """
import signal
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
print("up", flush=True)
signal.sigwait({signal.SIGTERM})
"""


def test_settings_are_what_the_daemon_reads(tmp_path: Path) -> None:
    for spec in SPECS:
        path = tmp_path / f"{spec.name}.toml"
        path.write_text(nodes.toml(nodes.settings(spec, FLEET, tmp_path, bootstrap=True)))
        told = read(str(path))
        assert (told.name, told.ip, told.zone, told.bootstrap) == (spec.name, spec.ip, spec.zone, True)
        assert told.is_replica is spec.has_disk
        assert told.frontend == (spec.ip, nodes.FRONTEND_PORT)
        assert told.bounds.drain_timeout_s == deployment.DRAIN_TIMEOUT_MS / 1000
        assert len(told.seeds) == 3 and told.tolerated_machines == 1
    assert sum(spec.has_disk for spec in SPECS) == 3 and len({spec.ip for spec in SPECS}) == 5


@pytest.fixture
def node(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> nodes.Node:
    monkeypatch.setattr(nodes, "DAEMON", ("-c", ENDS_WHEN_TOLD))
    return nodes.Node(SPECS[0], FLEET, tmp_path)


def _wait_until_up(node: nodes.Node, times: int) -> None:
    while node.log_path.read_text().count("up") < times:
        node.check()


def test_a_node_is_killed_started_again_and_told_to_end(node: nodes.Node) -> None:
    node.start(bootstrap=True)
    assert node.is_running and read(str(node.settings_path)).bootstrap
    _wait_until_up(node, 1)
    node.kill()
    assert not node.is_running
    node.start()
    assert not read(str(node.settings_path)).bootstrap
    _wait_until_up(node, 2)
    assert nodes.stop_all([node]) == {SPECS[0].name: 0}


def test_a_node_that_ends_by_itself_is_told_with_its_last_words(
    node: nodes.Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(nodes, "DAEMON", ("-c", "raise SystemExit('no such thing')"))
    node.start()
    assert node._process is not None and node._process.wait() == 1
    with pytest.raises(nodes.NodeEnded, match="ended with 1\nno such thing"):
        node.check()
    node.close()


def test_a_node_gets_no_variables_but_a_few(node: nodes.Node, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("SECRET", "x")
    monkeypatch.setattr(nodes, "DAEMON", ("-c", "import os; print(sorted(os.environ))"))
    node.start()
    assert node._process is not None and node._process.wait() == 0
    assert "CYPRESSWINCH_BOOT" in node.log_tail() and "SECRET" not in node.log_tail()
    node.close()


def test_the_configurations_are_valid_and_patched_alike() -> None:
    first, change = deployment.first_configuration(), deployment.added_route(8)
    _, state = review_document(json.dumps(first).encode(), ConfigurationState())
    assert differences(state.document(), first) == []
    _, state = review_patch(json.dumps(change).encode(), state)
    assert differences(state.document(), apply_patch(first, change)) == []
