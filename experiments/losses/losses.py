#!/usr/bin/env python3
"""Reports which requests of played days lose worth, when and why, from the bench's report and our own logs.

    losses.py BENCH SITE DAY[,DAY...] [--small] [--jobs N] [--out FOLDER] --why "..."
    losses.py --read FOLDER

The first form plays the days with the sources of the current directory's repository and saves the bench's output,
including the fronts' logs, in the folder. Both forms print tables in Markdown. The causes come from the fronts' log
lines event=forwarding-losses (front/forward_losses.h), one line per route every two seconds. A client that is refused
twice counts twice in these tables and once in the bench's report.
"""
import argparse
import collections
import json
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

CAUSES = [
    "quota_spent",
    "no_worker",
    "workers_full",
    "time_limit",
    "worker_lost",
    "late_own_prompt",
    "late_queue",
    "late_unforeseen",
    "late_pause",
]
LINE = re.compile(r"^\s*(-?[\d.]+) \S+ .*event=forwarding-losses (.*)$")
SHOWN_PRICES = 5


def play(bench, site, day, options, folder, why):
    report = folder / f"{day}.json"
    command = [bench, "run", site, day, "--log", "edge", "--report", str(report), "--why", f"{why} ({day})"]
    with open(folder / f"{day}.out", "w") as output:
        subprocess.run(command + options, stdout=output, stderr=subprocess.STDOUT, check=False)


def losses_of(text):
    """Returns the losses by cause, and for each interval of ten seconds by cause."""
    causes = collections.Counter()
    intervals = collections.defaultdict(collections.Counter)
    for line in text.splitlines():
        match = LINE.match(line)
        if not match:
            continue
        for name, count in re.findall(r"(\w+)=(\d+)", match.group(2)):
            if name in CAUSES:
                causes[name] += int(count)
                intervals[int(float(match.group(1)) // 10) * 10][name] += int(count)
    return causes, intervals


def show_day(name, report, text):
    totals = report["all"]
    print(
        f"\n### {name}: worth {report['G']:.3f}, served {report['served']:.3f}, refused "
        f"{report['refused']:.3f}, failed {report['failed']:.3f}\n"
    )
    parts = ", ".join(f"{part} {value:.3f} (x {weight})" for part, weight, value in report["parts"])
    prices = sorted(report["prices"], key=lambda price: -price[2])[:SHOWN_PRICES]
    print(f"{parts}; prices: " + ", ".join(f"{price[0]} {price[2]:.3f}" for price in prices) + "\n")
    print("| kind | asked | late | refused | failed | worth | p50 ms | p99 ms |\n|---|---|---|---|---|---|---|---|")
    for kind in report["classes"]:
        print(
            f"| {kind['name']} | {kind['n']} | {kind['late']} | {kind['refused']} | {kind['failed']} | "
            f"{kind['worth']:.3f} | {kind['p50_ms']:.0f} | {kind['p99_ms']:.0f} |"
        )
    print(
        f"| all | {totals['n']} | {totals['late']} | {totals['refused']} | {totals['failed']} | "
        f"{totals['worth']:.3f} | {totals['p50_ms']:.0f} | {totals['p99_ms']:.0f} |"
    )
    weak = [f"{window['name']} s {window['worth']:.2f}" for window in report["windows"] if window["worth"] < 0.8]
    print(f"\nWindows below 0.8: {', '.join(weak) or 'none'}")
    causes, intervals = losses_of(text)
    if causes:
        print("\n| from second | " + " | ".join(CAUSES) + " |\n|" + "---|" * (len(CAUSES) + 1))
        for second in sorted(intervals):
            print(f"| {second} | " + " | ".join(str(intervals[second][cause]) for cause in CAUSES) + " |")
        print("| all | " + " | ".join(str(causes[cause]) for cause in CAUSES) + " |")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("bench", nargs="?", help="path of the bench")
    parser.add_argument("site", nargs="?", help="site file")
    parser.add_argument("days", nargs="?", help="names of the days, comma-separated")
    parser.add_argument("--small", action="store_true", help="play the small twin of a large site")
    parser.add_argument("--jobs", type=int, default=4, help="days played in parallel (default 4)")
    parser.add_argument("--out", default="/tmp/losses", help="folder for the output (default /tmp/losses)")
    parser.add_argument("--why", help="reason, passed to the bench")
    parser.add_argument("--read", help="print the tables of an earlier run from this folder")
    arguments = parser.parse_args()
    folder = Path(arguments.read or arguments.out)
    if not arguments.read:
        if not arguments.days or not arguments.why:
            parser.error("BENCH, SITE, DAY and --why are required without --read")
        folder.mkdir(parents=True, exist_ok=True)
        options = ["--small"] if arguments.small else []
        with ThreadPoolExecutor(arguments.jobs) as pool:
            list(
                pool.map(
                    lambda day: play(arguments.bench, arguments.site, day, options, folder, arguments.why),
                    arguments.days.split(","),
                )
            )
    for path in sorted(folder.glob("*.json")):
        show_day(path.stem, json.loads(path.read_text()), path.with_suffix(".out").read_text())
    return 0


if __name__ == "__main__":
    sys.exit(main())
