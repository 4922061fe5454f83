#!/usr/bin/env python3
"""Plays days of a site with given seeds and prints the components of their worth; processor time is not charged.

    paired.py BENCH SITE DAY[,DAY...] --seeds N [--small] [--jobs N] [--cpu] --out FILE --why "..."
    paired.py --compare FILE FILE

Run in the repository whose sources are to be played. The first form writes one row for each day and
seed; --cpu charges processor time. The second form pairs the rows of two such files and prints the mean
and standard error of their differences by day. Paired rows play the same day with the same seed, so most
of the random variation cancels out.
"""
import argparse
import json
import math
import os
import re
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor

SHOWN_PRICES = {
    "read": "1,000 tokens of shared parts read again",
    "connections": "new connections to servers",
    "machines": "machine-seconds",
    "calls": "cloud calls",
    "zones": "GB between zones",
}


def play(bench, site, day, seed, options, why):
    with tempfile.NamedTemporaryFile(suffix=".json", delete=False) as file:
        report_path = file.name
    command = [bench, "run", site, day, "--report", report_path, "--why", f"{why} ({day}, seed {seed})"]
    command += ["--seed", str(seed)] if seed else []
    command += options
    result = subprocess.run(command, capture_output=True, text=True)
    try:
        with open(report_path) as file:
            report = json.load(file)
    except (OSError, ValueError):
        return {"day": day, "seed": seed, "error": (result.stdout + result.stderr)[-400:]}
    finally:
        os.unlink(report_path)
    row = {
        "day": day,
        "seed": seed,
        "worth": report["G"],
        "served": report["served"],
        "refused": report["refused"],
        "failed": report["failed"],
    }
    row.update({name: value for name, _, value in report["parts"]})
    prices = {name: value for name, _, value in report["prices"]}
    row.update({short: prices.get(name, 0) for short, name in SHOWN_PRICES.items()})
    row["prices"] = sum(prices.values())
    busiest = re.findall(r"^\S+ +\d+ +\d+ +\d+ +\d+ +\d+ +\d+ +([\d.]+)$", result.stdout, re.M)
    row["busiest"] = float(busiest[0]) if busiest else 0
    broken = [line for line in result.stdout.splitlines() if "BROKEN" in line]
    if broken:
        row["broken"] = broken[0][-200:]
    return row


def show(rows):
    columns = [key for key in rows[0] if key not in ("day", "seed", "broken", "error")]
    print(f"{'day':12}{'seed':>6}" + "".join(f"{name[:11]:>12}" for name in columns))
    for row in rows:
        if "error" in row:
            print(row["day"], row["seed"], "FAILED:", row["error"])
            continue
        print(
            f"{row['day']:12}{row['seed']:>6}"
            + "".join(f"{row[name]:12.4f}" for name in columns)
            + ("  " + row["broken"] if "broken" in row else "")
        )


def compare(first_path, second_path):
    with open(first_path) as file:
        first = {(row["day"], row["seed"]): row for row in json.load(file)}
    with open(second_path) as file:
        second = {(row["day"], row["seed"]): row for row in json.load(file)}
    keys = [key for key in first if key in second and "error" not in first[key] and "error" not in second[key]]
    columns = [name for name in first[keys[0]] if name not in ("day", "seed", "broken")]
    for day in sorted({key[0] for key in keys}) + ["all"]:
        chosen = [key for key in keys if day in ("all", key[0])]
        text = f"{day:12}n={len(chosen):<3}"
        for name in columns:
            differences = [second[key][name] - first[key][name] for key in chosen]
            mean = sum(differences) / len(differences)
            spread = math.sqrt(sum((difference - mean) ** 2 for difference in differences))
            error = spread / max(1, len(differences) - 1) ** 0.5 / len(differences) ** 0.5
            text += f" {name}{mean:+.4f}+-{error:.4f}"
        print(text)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("bench", nargs="?", help="path of the bench")
    parser.add_argument("site", nargs="?", help="site file")
    parser.add_argument("days", nargs="?", help="names of the days, comma-separated")
    parser.add_argument("--seeds", type=int, default=3, help="play seeds 1 to this number (default 3)")
    parser.add_argument("--small", action="store_true", help="play the small twin of a large site")
    parser.add_argument("--cpu", action="store_true", help="charge processor time")
    parser.add_argument("--jobs", type=int, default=4, help="days played in parallel (default 4)")
    parser.add_argument("--out", help="JSON file to write")
    parser.add_argument("--why", help="reason, passed to the bench")
    parser.add_argument("--compare", nargs=2, help="compare two files written by --out")
    arguments = parser.parse_args()
    if arguments.compare:
        compare(*arguments.compare)
        return
    if not arguments.days or not arguments.why or not arguments.out:
        parser.error("BENCH, SITE, DAY, --out and --why are required without --compare")
    options = [] if arguments.cpu else ["--no-cpu"]
    options += ["--small"] if arguments.small else []
    tasks = [(day, seed) for day in arguments.days.split(",") for seed in range(1, arguments.seeds + 1)]
    with ThreadPoolExecutor(arguments.jobs) as pool:
        rows = list(
            pool.map(
                lambda task: play(arguments.bench, arguments.site, task[0], task[1], options, arguments.why), tasks
            )
        )
    with open(arguments.out, "w") as file:
        json.dump(rows, file, indent=1)
    show(rows)


if __name__ == "__main__":
    sys.exit(main())
