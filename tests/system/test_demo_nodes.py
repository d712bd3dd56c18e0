"""The demo's nodes: the daemon reads their settings files, and their processes start, stop and restart."""

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
EXITS_ON_SIGTERM = """
import signal
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
print("up", flush=True)
signal.sigwait({signal.SIGTERM})
"""


def test_the_daemon_reads_the_settings_as_written(tmp_path: Path) -> None:
    for spec in SPECS:
        path = tmp_path / f"{spec.name}.toml"
        path.write_text(nodes.toml(nodes.settings(spec, FLEET, tmp_path, bootstrap=True)))
        loaded = read(str(path))
        assert (loaded.name, loaded.ip, loaded.zone, loaded.bootstrap) == (
            spec.name,
            spec.ip,
            spec.zone,
            True,
        )
        assert loaded.is_replica is spec.has_disk
        assert loaded.frontend == (spec.ip, nodes.FRONTEND_PORT)
        assert loaded.bounds.drain_timeout_s == deployment.DRAIN_TIMEOUT_MS / 1000
        assert len(loaded.seeds) == 3 and loaded.tolerated_machines == 1
    assert sum(spec.has_disk for spec in SPECS) == 3 and len({spec.ip for spec in SPECS}) == 5


@pytest.fixture
def node(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> nodes.Node:
    monkeypatch.setattr(nodes, "DAEMON", ("-c", EXITS_ON_SIGTERM))
    return nodes.Node(SPECS[0], FLEET, tmp_path)


def _wait_until_up(node: nodes.Node, starts: int) -> None:
    while node.log_path.read_text().count("up") < starts:
        node.check()


def test_a_node_is_killed_restarted_and_stopped(node: nodes.Node) -> None:
    node.start(bootstrap=True)
    assert node.is_running and read(str(node.settings_path)).bootstrap
    _wait_until_up(node, 1)
    node.kill()
    assert not node.is_running
    node.start()
    assert not read(str(node.settings_path)).bootstrap
    _wait_until_up(node, 2)
    assert nodes.stop_all([node]) == {SPECS[0].name: 0}


def test_a_node_that_exits_is_reported_with_its_last_output(
    node: nodes.Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(nodes, "DAEMON", ("-c", "raise SystemExit('no such thing')"))
    node.start()
    assert node._process is not None and node._process.wait() == 1
    with pytest.raises(nodes.NodeEnded, match="ended with 1\nno such thing"):
        node.check()
    node.close()


def test_a_node_gets_only_a_few_environment_variables(
    node: nodes.Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("SECRET", "x")
    monkeypatch.setattr(nodes, "DAEMON", ("-c", "import os; print(sorted(os.environ))"))
    node.start()
    assert node._process is not None and node._process.wait() == 0
    assert "CYPRESSWINCH_BOOT" in node.log_tail() and "SECRET" not in node.log_tail()
    node.close()


def test_the_configurations_are_valid_and_a_patch_gives_the_daemons_result() -> None:
    first, change = deployment.first_configuration(), deployment.added_route(8)
    _, state = review_document(json.dumps(first).encode(), ConfigurationState())
    assert differences(state.document(), first) == []
    _, state = review_patch(json.dumps(change).encode(), state)
    assert differences(state.document(), apply_patch(first, change)) == []
