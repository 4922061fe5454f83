#!/usr/bin/env python3
"""Draws random deployments from a given site file and plays a day without faults on each.

    variants.py BENCH SITE --count N [--first-seed N] [--jobs N] [--out FOLDER] --why "..."

A variant has 1 to 8 zones, 3 to 300 fronts (mostly few), 3 to 240 workers and 1 to 64 slots. Streams may not
be resumable, cold_s may be 0, and any of the optional contracts may be absent. A variant tolerates the loss of up to
3 machines and one zone. Its traffic is scaled to the capacity of its workers. A seed always draws the same variant
from the same site file. Prints one line for each variant. Exit status: 1 if a day broke a rule, did not finish, or
had a served value below 0.25 in the bench's report. Run in the repository whose sources are to be played.
"""
import argparse
import json
import random
import subprocess
import sys
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

# The optional contracts, each with the contracts that depend on it: a quota needs tenants.
OPTIONAL = {
    "drain": [],
    "cost": [],
    "retry": [],
    "recover": [],
    "health": [],
    "pool": [],
    "places": [],
    "quota": [],
    "tenants": ["quota"],
}
LARGE_SHARE = 0.08
CORES = 5


def inline(value):
    """Formats a value as TOML on one line."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{json.dumps(key)} = {inline(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(inline(item) for item in value) + "]"
    return json.dumps(value, ensure_ascii=False)


def write_site(site, path):
    lines = [f"{key} = {inline(value)}" for key, value in site.items() if not isinstance(value, dict) and key != "day"]
    for key, value in site.items():
        if isinstance(value, dict):
            lines += [f"\n[{key}]"] + [f"{name} = {inline(item)}" for name, item in value.items()]
    for day in site["day"]:
        lines += ["\n[[day]]"] + [f"{name} = {inline(item)}" for name, item in day.items()]
    path.write_text("\n".join(lines) + "\n")


def distribute(total, zones, rng):
    """Distributes `total` over the zones as evenly as possible; random zones get the remainder."""
    counts = [total // zones + (1 if index < total % zones else 0) for index in range(zones)]
    rng.shuffle(counts)
    return counts


def variant_of(site, seed):
    rng = random.Random(seed)
    region = site["zones"][0]["region"]
    names = [f"zone-{index}" for index in range(rng.randint(1, 8))]
    large = rng.random() < LARGE_SHARE
    fronts = max(len(names), rng.randint(60, 300) if large else rng.randint(3, 40))
    workers = rng.randint(60, 240) if large else rng.randint(3, 60)
    slots = rng.choice([1, 2, 4, 8, 16, 32, 64])
    contracts = set(site["contracts"])
    for contract, dependent in OPTIONAL.items():
        if rng.random() < 0.25:
            contracts -= {contract, *dependent}
    variant = json.loads(json.dumps({key: value for key, value in site.items() if key != "troubles"}))
    variant["name"] = f"variant-{seed}"
    variant["contracts"] = [contract for contract in site["contracts"] if contract in contracts]
    variant["zones"] = [{"name": name, "region": region} for name in names]
    front = next(machine for machine in site["machines"] if machine["class"] == "front")
    core = next(machine for machine in site["machines"] if machine["class"] == "core")
    tolerated = rng.randint(0, 3)
    cores = max(CORES, 2 * tolerated + 1)
    variant["machines"] = [
        dict(machine, zone=name, count=count, spare=1)
        for machine, total in ((front, fronts), (core, cores))
        for name, count in zip(names, distribute(total, len(names), rng))
        if count
    ]
    variant["tolerate"] = {
        "machines": tolerated,
        "zones": 1 if len(names) >= 3 and rng.random() < 0.5 else 0,
        "regions": 0,
    }
    service = variant["services"][0]
    service["servers"] = [
        {"zone": name, "count": count}
        for name, count in zip(names, distribute(max(workers, len(names)), len(names), rng))
        if count
    ]
    service["slots"], service["queue"], service["llm"]["batch"] = slots, 3 * slots, slots
    service["conn_cap"] = max(service["conn_cap"], 8 * fronts)
    if rng.random() < 0.3:
        service["cold_s"] = 0.0
    for other in variant["services"][1:]:
        other["servers"] = [{"zone": name, "count": 1} for name in names]
        other["conn_cap"] = max(other["conn_cap"], 8 * fronts)
    if rng.random() < 0.3:
        for kind in variant["classes"]:
            if "stream" in kind:
                kind["stream"]["resume"] = False
    first = site["services"][0]
    site_workers = sum(part["count"] for part in first["servers"])
    requests_per_second = (
        sum(part["per_s"] for part in site["day"][0]["traffic"]) * workers / site_workers * min(1.0, slots / 24)
    )
    pattern = site["day"][0]["traffic"][0]
    traffic = [
        dict(pattern, zone=name, per_s=round(requests_per_second / len(names), 2), clients=max(3, fronts // len(names)))
        for name in names
    ]
    variant["traffic"] = traffic
    variant["day"] = [dict(site["day"][0], traffic=traffic, seed=seed, faults=[])]
    variant.pop("target", None)
    if "tenants" not in contracts:
        variant.pop("tenants", None)
    summary = (
        f"{len(names)} zones, {fronts} fronts, {workers} workers x {slots}, tolerates "
        f"{variant['tolerate']['machines']}/{variant['tolerate']['zones']}, without "
        f"{','.join(sorted(set(site['contracts']) - contracts)) or 'nothing'}"
    )
    return variant, summary


def play(bench, site, seed, folder, why):
    variant, summary = variant_of(site, seed)
    path = folder / f"variant-{seed}.toml"
    report = folder / f"variant-{seed}.json"
    report.unlink(missing_ok=True)
    write_site(variant, path)
    result = subprocess.run(
        [
            bench,
            "run",
            str(path),
            variant["day"][0]["name"],
            "--report",
            str(report),
            "--why",
            f"{why} (seed {seed}: {summary})",
        ],
        capture_output=True,
        text=True,
        check=False,
    )
    output = result.stdout + result.stderr
    (folder / f"variant-{seed}.out").write_text(output)
    if not report.exists():
        return f"| {seed} | {summary} | not played: {output.strip().splitlines()[-1][:160]} |", True
    outcome = json.loads(report.read_text())
    broken = bool(outcome["breaks"]) or bool(outcome["fault"]) or outcome["served"] < 0.25
    verdict = f"BROKEN {list(outcome['breaks'])} {outcome['fault'] or ''}" if broken else "kept"
    return (
        f"| {seed} | {summary} | {verdict}, served {outcome['served']:.3f}, refused {outcome['refused']:.3f}, "
        f"failed {outcome['failed']:.3f} |"
    ), broken


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("bench", help="path of the bench")
    parser.add_argument("site", type=Path, help="site file")
    parser.add_argument("--count", type=int, default=100, help="number of variants (default 100)")
    parser.add_argument("--first-seed", type=int, default=1, help="seed of the first variant (default 1)")
    parser.add_argument("--jobs", type=int, default=4, help="variants played in parallel (default 4)")
    parser.add_argument(
        "--out", type=Path, default=Path("/tmp/variants"), help="folder for the output (default /tmp/variants)"
    )
    parser.add_argument("--why", required=True, help="reason, passed to the bench")
    arguments = parser.parse_args()
    arguments.out.mkdir(parents=True, exist_ok=True)
    site = tomllib.loads(arguments.site.read_text())
    (arguments.out / site["wire"]).write_bytes((arguments.site.parent / site["wire"]).read_bytes())
    print("| seed | deployment | calm day |\n|---|---|---|", flush=True)
    failed = False
    with ThreadPoolExecutor(arguments.jobs) as pool:
        seeds = range(arguments.first_seed, arguments.first_seed + arguments.count)
        for line, broken in pool.map(
            lambda seed: play(arguments.bench, site, seed, arguments.out, arguments.why), seeds
        ):
            print(line, flush=True)
            failed = failed or broken
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
