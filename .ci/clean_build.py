"""Builds the fleet by its deploy file from a clean copy, and starts one node of what was built.

Only the tracked files, an empty home, `/usr/bin` and `/bin`, and wheels (no compiler). Run by the system's
own python3; needs the standard library and, for the node's settings, what it has built.

    python3 .ci/clean_build.py FOLDER
"""

import importlib
import shlex
import shutil
import signal
import subprocess
import sys
import time
import tomllib
import urllib.error
import urllib.request
from pathlib import Path

PATH = "/usr/bin:/bin"
BUILD_LIMIT_S = 15 * 60
READY_LIMIT_S = END_LIMIT_S = 60


def tracked_names() -> list[str]:
    command = ["git", "ls-files", "-z"]
    listed = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    return [name for name in listed.split("\0") if name]


def copy_tracked(folder: Path) -> Path:
    """The tracked files alone, as they are now."""
    for name in tracked_names():
        target = folder / name
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(name, target)
    return folder


def build(checkout: Path, home: Path) -> dict:
    """Runs the deploy file's build; gives the deploy file."""
    with (checkout / "deploy/system.toml").open("rb") as file:
        deploy = tomllib.load(file)
    environment = {"PATH": PATH, "HOME": str(home), "PIP_ONLY_BINARY": ":all:"}
    command = ["/bin/sh", "-c", deploy["build"]]
    subprocess.run(command, cwd=checkout, env=environment, check=True, timeout=BUILD_LIMIT_S)
    made = {path.name for path in checkout.iterdir()} - {Path(name).parts[0] for name in tracked_names()}
    assert made == {"target"}, f"the build wrote outside of target/: {made}"
    return deploy


def play_one_node(checkout: Path, home: Path, run: str) -> None:
    """Starts a node with a settings file of its own, waits for its readiness, and tells it to end."""
    sys.path[:0] = [str(checkout), str(checkout / "target/deps")]
    deployment = importlib.import_module("cloverrouter.lab.fleet.deployment")
    nodes = importlib.import_module("cloverrouter.lab.fleet.nodes")
    spec = nodes.NodeSpec("edge-1", "127.31.7.9", deployment.ZONES[0], has_disk=True)
    folder = home.parent / "nodes"
    (folder / spec.name / "disk").mkdir(parents=True)
    settings = folder / spec.name / "node.toml"
    table = nodes.settings(spec, deployment.fleet_settings((spec,)), folder, bootstrap=True)
    settings.write_text(nodes.toml(table))
    environment = {
        "PATH": PATH,
        "HOME": str(home),
        "PYTHONPATH": "target/deps",
        "CYPRESSWINCH_BOOT": str(settings),
    }
    command = shlex.split(run)
    command[0] = shutil.which(command[0], path=PATH) or command[0]
    node = subprocess.Popen(command, cwd=checkout, env=environment)
    status, until = None, time.monotonic() + READY_LIMIT_S
    while status is None and node.poll() is None and time.monotonic() < until:
        status = readiness(spec.readiness)
        time.sleep(0.1)
    node.send_signal(signal.SIGTERM)
    code = node.wait(END_LIMIT_S)
    assert status in (200, 503), status
    assert code == 0, code


def readiness(address: str) -> int | None:
    """The status that the readiness address answers, or None if nothing listens there yet."""
    try:
        return urllib.request.urlopen(f"http://{address}/-/readiness", timeout=5).status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return None


def main(folder: Path) -> None:
    shutil.rmtree(folder, ignore_errors=True)
    home = folder.absolute() / "home"
    home.mkdir(parents=True)
    checkout = copy_tracked(folder.absolute() / "checkout")
    deploy = build(checkout, home)
    play_one_node(checkout, home, deploy["roles"]["router"]["run"])
    print("deploy: built with what is listed; a node of the fleet answered, and left when told")


if __name__ == "__main__":
    main(Path(sys.argv[1]))
