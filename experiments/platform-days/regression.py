#!/usr/bin/env python3
"""Plays the regression on the users' platform before a landing, and prints a table with the time each part took.

    regression.py FOLDER --why "..." [--lanes N] [--jobs N] [--out FOLDER] [--only WORD]

FOLDER contains the bench and, in one folder for each age, the site files. The newest sites get a full score, the
older ones a quick score from their light days; all of them are hunted. Run in the repository whose sources are to be
played, on an otherwise idle machine. --lanes parts run in parallel, each with --jobs days at a time. Exit status: 1 if
a rule broke, a gate failed or a part did not finish.
"""
import argparse
import re
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path


@dataclass
class Age:
    """How the site files of one folder are played."""

    folder: str
    full_score: bool
    hunted_days: int


# Newest first. The two sites of the first folder replaced those of the last one in the full scores.
AGES = [Age("large", True, 8), Age("further", False, 16), Age("grown", False, 8), Age("sites", False, 40)]


@dataclass
class Part:
    site: Path
    verb: str
    options: list


def parts_of(root):
    parts = []
    for age in AGES:
        for site in sorted((root / age.folder).glob("*.toml")):
            parts.append(Part(site, "score", [] if age.full_score else ["--quick"]))
            parts.append(Part(site, "hunt", ["--days", str(age.hunted_days)]))
    return parts


def play(bench, part, arguments):
    start = time.monotonic()
    path = Path(arguments.out) / f"{part.site.stem}-{part.verb}.out"
    command = [bench, part.verb, str(part.site), *part.options, "--jobs", str(arguments.jobs), "--why", arguments.why]
    with open(path, "w") as output:
        code = subprocess.run(command, stdout=output, stderr=subprocess.STDOUT, check=False).returncode
    text = path.read_text()
    found = re.findall(r"^(?:score|quick estimate) on .*: ([\d.]+)$|^(GATE \w+)|^(.*(?:BROKEN|no rule).*)$", text, re.M)
    verdict = "; ".join(next(part for part in line if part) for line in found) or text.strip().splitlines()[-1]
    minutes = (time.monotonic() - start) / 60
    failed = code != 0 or "GATE failed" in text or "BROKEN" in text
    print(
        f"| {part.site.stem} | {' '.join([part.verb, *part.options])} | {verdict[:160]} | {minutes:.1f} |", flush=True
    )
    return failed


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("folder", type=Path, help="folder of the bench and the site files")
    parser.add_argument("--why", required=True, help="reason, passed to the bench")
    parser.add_argument("--lanes", type=int, default=2, help="parts run in parallel (default 2)")
    parser.add_argument("--jobs", type=int, default=4, help="days played in parallel in each part (default 4)")
    parser.add_argument("--out", default="/tmp/regression", help="folder for the output (default /tmp/regression)")
    parser.add_argument("--only", default="", help="run only parts whose SITE-VERB contains this text")
    arguments = parser.parse_args()
    Path(arguments.out).mkdir(parents=True, exist_ok=True)
    bench = str(arguments.folder / "bin" / "fleetbench")
    subprocess.run([bench, "build"], check=True, stdout=subprocess.DEVNULL)
    print("| site | part | verdict | minutes |\n|---|---|---|---|", flush=True)
    parts = [part for part in parts_of(arguments.folder) if arguments.only in f"{part.site.stem}-{part.verb}"]
    with ThreadPoolExecutor(arguments.lanes) as lanes:
        failures = list(lanes.map(lambda part: play(bench, part, arguments), parts))
    return 1 if any(failures) else 0


if __name__ == "__main__":
    sys.exit(main())
