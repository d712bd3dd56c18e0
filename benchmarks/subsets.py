"""Ways to choose which servers an instance keeps to, beside each other: spread and churn.

    python benchmarks/subsets.py [--servers 19,100] [--instances 50,500] [--size 5]

Prints a table and one JSON line. Nothing is timed; the figures are the same on any machine.
"""

from __future__ import annotations

import argparse
import json
from dataclasses import asdict

from cloverrouter.fleet.subset import STRATEGIES, quality


def main() -> None:
    told = argparse.ArgumentParser()
    told.add_argument("--servers", default="19,100")
    told.add_argument("--instances", default="50,500")
    told.add_argument("--size", type=int, default=5)
    args = told.parse_args()
    lines = []
    heads = ("most", "least", "server+1", "instance+1", "twice", "gaps")
    print(f"{'servers':>8}{'instances':>10}  {'way':18}" + "".join(f"{name:>11}" for name in heads))
    for servers in map(int, args.servers.split(",")):
        names = [f"b{i}" for i in range(servers)]
        for instances in map(int, args.instances.split(",")):
            for name, way in STRATEGIES.items():
                found = asdict(quality(way, names, args.size, instances))
                print(f"{servers:8}{instances:10}  {name:18}" + "".join(f"{f:11.2f}" for f in found.values()))
                lines.append({"servers": servers, "instances": instances, "way": name, **found})
    print(json.dumps({"size": args.size, "figures": lines}))


if __name__ == "__main__":
    main()
