#!/usr/bin/env python3
"""Runs five real cores with several numbers of lightweight fronts and writes one CSV row for each number.

    scripts/scale-run.sh --build BUILD --directory DIR --out FILE.csv --fronts 25,100,200

Each run starts with empty data folders. When all lightweight fronts serve, the script measures one
period without changes and one with changes: processor time from /proc, bytes from the fronts'
transports, and the time from sending a change until the last front has applied it. All addresses are
on the loopback interface.
"""

import argparse
import csv
import json
import os
import pathlib
import shutil
import subprocess
import time

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1000
    return 0.0


def quantile(values, share):
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def rows_of(path):
    with open(path, newline="") as file:
        return [row for row in csv.DictReader(file) if None not in row.values()]


class Fleet:
    """Five core processes and a platform process whose data is below one directory."""

    def __init__(self, arguments, directory):
        self.testbed = f"{arguments.build}/programs/switchsaddle-testbed"
        self.daemon = f"{arguments.build}/programs/switchsaddle"
        self.arguments = arguments
        self.directory = directory
        self.platform = None

    def run(self, *command):
        return subprocess.run([self.testbed, *command], check=True, capture_output=True, text=True)

    def up(self):
        network = self.arguments.network
        layout = {
            "network": network,
            "region": "scale",
            "operator_key": "scale-operator-key",
            "zones": ["a", "b", "c"],
            "cores": {"count": 5},
            "fronts": {"count": 0},
            "workers": [],
        }
        self.directory.mkdir(parents=True, exist_ok=True)
        layout_file = self.directory / "layout.json"
        layout_file.write_text(json.dumps(layout))
        configuration = self.directory / "configuration.json"
        self.run("slopes", "--tenants", str(self.arguments.tenants), "--write-configuration", str(configuration))
        self.run(
            "fleet",
            "up",
            "--directory",
            str(self.directory),
            "--layout",
            str(layout_file),
            "--configuration",
            str(configuration),
            "--switchsaddle",
            self.daemon,
        )
        if self.arguments.workers:
            self.start_platform()

    def start_platform(self):
        self.run("fleet", "kill", "--directory", str(self.directory), "platform")
        workers = [
            {
                "id": f"worker-{i}",
                "address": f"127.0.0.1:{10000 + i}",
                "zone": f"region-{i % 8}-{i % 28}",
                "models": [f"model-{i % 9}"],
                "service": "completions",
                "stage": "both",
                "weights_version": "1",
                "slots": 16,
            }
            for i in range(self.arguments.workers)
        ]
        path = self.directory / "synthetic-workers.json"
        path.write_text(json.dumps({"workers": workers}))
        self.platform = subprocess.Popen(
            [
                self.testbed,
                "platform",
                "--address",
                f"{self.arguments.network}.4.1:8100",
                "--workers",
                str(path),
                "--synthetic-workers",
                "--churn-ms",
                str(self.arguments.churn_ms),
            ]
        )

    def cores(self):
        state = json.loads((self.directory / "fleet.json").read_text())
        return [process for process in state["processes"] if process["role"] == "core"]

    def down(self):
        if self.platform:
            self.platform.kill()
            self.platform.wait()
        self.run("fleet", "down", "--directory", str(self.directory))


class CounterSnapshot:
    """Snapshot of the counters of the cores and the lightweight fronts."""

    def __init__(self, cores, fronts_process, lines):
        self.time = time.monotonic()
        self.cores = [cpu_seconds(core["pid"]) for core in cores]
        self.fronts_process = cpu_seconds(fronts_process.pid)
        self.line = rows_of(lines)[-1]

    def rate(self, later, name):
        return (float(later.line[name]) - float(self.line[name])) / (later.time - self.time)


def wait_serving(lines, count, limit):
    deadline = time.monotonic() + limit
    while time.monotonic() < deadline:
        rows = rows_of(lines) if lines.exists() else []
        if rows and int(rows[-1]["serving"]) == count and int(rows[-1]["lowest_version"]) > 0:
            return
        time.sleep(0.5)
    raise SystemExit(f"{count} lightweight fronts are not all serving after {limit} s")


def measure(arguments, count):
    directory = pathlib.Path(arguments.directory) / f"scale-{count}"
    shutil.rmtree(directory, ignore_errors=True)
    fleet = Fleet(arguments, directory)
    load_before = os.getloadavg()[0]
    fleet.up()
    try:
        return measure_running(arguments, count, fleet, load_before)
    finally:
        fleet.down()


def measure_running(arguments, count, fleet, load_before):
    directory = fleet.directory
    cores = fleet.cores()
    lines = directory / "lightweight-fronts.csv"
    total_seconds = arguments.settle + 2 * arguments.seconds + 45
    command = [
        fleet.testbed,
        "lightweight-fronts",
        "--seeds-cores",
        ",".join(core["peer_address"] for core in cores[:3]),
        "--count",
        str(count),
        "--threads",
        str(arguments.threads),
        "--network",
        arguments.network,
        "--zones",
        "a,b,c",
        "--seconds",
        str(total_seconds),
        "--prompts",
        str(arguments.prompts),
        "--versions",
        str(directory / "versions.csv"),
        "--kinds",
        str(directory / "kinds.csv"),
    ]
    if arguments.slots:
        command.append("--slots")
    if arguments.weigh:
        command.append("--weigh")
    with open(lines, "w") as output, open(directory / "lightweight-fronts.log", "w") as log:
        fronts_process = subprocess.Popen(command, stdout=output, stderr=log)
    try:
        wait_serving(lines, count, 60)
        time.sleep(arguments.settle)
        first = CounterSnapshot(cores, fronts_process, lines)
        time.sleep(arguments.seconds)
        second = CounterSnapshot(cores, fronts_process, lines)
        changes = directory / "changes.csv"
        fleet.run(
            "changes",
            "--fleet",
            str(directory / "fleet.json"),
            "--record",
            str(changes),
            "--count",
            str(arguments.changes),
            "--pause-ms",
            str(arguments.pause_ms),
        )
        time.sleep(2)
        third = CounterSnapshot(cores, fronts_process, lines)
        core_mb = max(resident_mb(core["pid"]) for core in cores)
        fronts_mb = resident_mb(fronts_process.pid)
        load_after = os.getloadavg()[0]
        fronts_process.terminate()
        fronts_process.wait()
    finally:
        if fronts_process.poll() is None:
            fronts_process.kill()
            fronts_process.wait()
    return row_of(arguments, count, first, second, third, directory, core_mb, fronts_mb, load_before, load_after)


def row_of(arguments, count, first, second, third, directory, core_mb, fronts_mb, load_before, load_after):
    versions = {row["version"]: row for row in rows_of(directory / "versions.csv")}
    answers = rows_of(directory / "changes.csv")
    answered, everywhere, spread = [], [], []
    for answer in answers:
        answered.append(int(answer["answered_ms"]) - int(answer["sent_ms"]))
        version = versions.get(answer["version"])
        if version and int(version["fronts"]) == count:
            everywhere.append(int(version["last_ms"]) - int(answer["sent_ms"]))
            spread.append(int(version["last_ms"]) - int(version["first_ms"]))
    idle = second.time - first.time
    busy = third.time - second.time
    core_idle = [(b - a) / idle for a, b in zip(first.cores, second.cores)]
    core_busy = [(b - a) / busy for a, b in zip(second.cores, third.cores)]
    changed = max(1, len(answers))
    row = {
        "fronts": count,
        "tenants": arguments.tenants,
        "workers": arguments.workers,
        "prompts": arguments.prompts,
        "core_cpu_pct_mean": 100 * sum(core_idle) / 5,
        "core_cpu_pct_max": 100 * max(core_idle),
        "core_mb_max": core_mb,
        "core_cpu_ms_per_change": 1000 * (sum(core_busy) - sum(core_idle)) * busy / changed / 5,
        "front_cpu_pct": 100 * (second.fronts_process - first.fronts_process) / idle / count,
        "front_cpu_ms_per_change": 1000
        * (
            (third.fronts_process - second.fronts_process)
            - (second.fronts_process - first.fronts_process) / idle * busy
        )
        / changed
        / count,
        "front_mb": fronts_mb / count,
        "front_sent_bytes_s": first.rate(second, "bytes_sent") / count,
        "front_received_bytes_s": first.rate(second, "bytes_received") / count,
        "front_bytes_per_change": (second.rate(third, "bytes_received") - first.rate(second, "bytes_received"))
        * busy
        / changed
        / count,
        "front_frames_sent_s": first.rate(second, "frames_sent") / count,
        "slots_got_s": first.rate(second, "slots_got"),
        "slots_refused_s": first.rate(second, "slots_refused"),
        "changes": len(answers),
        "acknowledged": sum(1 for answer in answers if answer["status"] == "200"),
        "committed_only": sum(1 for answer in answers if answer["status"] == "202"),
        "everywhere": len(everywhere),
    }
    for name, values in (("answer", answered), ("everywhere", everywhere), ("spread", spread)):
        for label, share in (("p50", 0.5), ("p95", 0.95), ("p99", 0.99)):
            row[f"{name}_{label}_ms"] = quantile(values, share)
    row["serving_at_end"] = third.line["serving"]
    row["load_before"] = load_before
    row["load_after"] = load_after
    return row


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", required=True, help="build folder")
    parser.add_argument("--directory", required=True, help="folder for the fleets' data")
    parser.add_argument("--out", required=True, help="CSV file to which rows are appended")
    parser.add_argument(
        "--network", default="127.52", help="first two bytes of the loopback addresses (default %(default)s)"
    )
    parser.add_argument("--fronts", default="25,100,200", help="numbers of lightweight fronts, comma-separated")
    parser.add_argument("--tenants", type=int, default=10, help="tenants in the configuration")
    parser.add_argument("--workers", type=int, default=0, help="fake workers in the platform's list")
    parser.add_argument("--churn-ms", type=int, default=0, help="milliseconds until one more worker drains")
    parser.add_argument("--prompts", type=int, default=0, help="simulated completions per second on each front")
    parser.add_argument("--threads", type=int, default=2, help="threads of the lightweight fronts")
    parser.add_argument("--seconds", type=int, default=15, help="seconds of the period without changes")
    parser.add_argument("--settle", type=int, default=5, help="seconds to wait before the first measurement")
    parser.add_argument("--changes", type=int, default=20, help="number of changes in the second period")
    parser.add_argument("--pause-ms", type=int, default=300, help="milliseconds between two changes")
    parser.add_argument("--slots", action="store_true", help="take a slot from the ledgers for each prompt")
    parser.add_argument("--weigh", action="store_true", help="measure message sizes by kind; costs time")
    arguments = parser.parse_args()
    arguments.directory = os.path.abspath(arguments.directory)
    arguments.build = os.path.abspath(arguments.build)
    for count in (int(text) for text in arguments.fronts.split(",")):
        row = measure(arguments, count)
        new = not os.path.exists(arguments.out)
        with open(arguments.out, "a", newline="") as file:
            writer = csv.DictWriter(file, fieldnames=list(row))
            if new:
                writer.writeheader()
            writer.writerow(
                {name: f"{value:.3f}" if isinstance(value, float) else value for name, value in row.items()}
            )
        print({name: round(value, 2) if isinstance(value, float) else value for name, value in row.items()}, flush=True)


if __name__ == "__main__":
    main()
