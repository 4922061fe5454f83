#!/usr/bin/env python3
"""Measures latency, processor time, memory and disk writes of claims at several rates through five real cores.

    scripts/claims_run.py --build BUILD --directory DIR --out FILE.csv --rates 50,100,200,400
"""

import argparse
import csv
import os
import pathlib
import shutil
import time

from scale_run import Fleet, cpu_seconds, resident_mb


def written_bytes(pid):
    for line in pathlib.Path(f"/proc/{pid}/io").read_text().splitlines():
        if line.startswith("write_bytes:"):
            return int(line.split()[1])
    return 0


def write_calls(pid):
    for line in pathlib.Path(f"/proc/{pid}/io").read_text().splitlines():
        if line.startswith("syscw:"):
            return int(line.split()[1])
    return 0


def folder_mb(path):
    return sum(file.stat().st_size for file in pathlib.Path(path).rglob("*") if file.is_file()) / 1e6


def measure(arguments, fleet, rate):
    cores = fleet.cores()
    pids = [core["pid"] for core in cores]
    cpu = sum(map(cpu_seconds, pids))
    memory = sum(map(resident_mb, pids))
    written = sum(map(written_bytes, pids))
    write_calls_before = sum(map(write_calls, pids))
    folders = sum(folder_mb(core["data_folder"]) for core in cores)
    start = time.monotonic()
    output = fleet.run(
        "claims",
        "--cores",
        ",".join(core["peer_address"] for core in cores),
        "--address",
        f"{arguments.network}.9.1:7100",
        "--prefix",
        f"rate-{rate}",
        "--rate",
        str(rate),
        "--seconds",
        str(arguments.seconds),
    ).stdout
    elapsed_seconds = time.monotonic() - start
    names, values = (line.split(",") for line in output.strip().splitlines())
    row = dict(zip(names, values))
    finished_claims = max(1, int(row["finished"]))
    row["core_cpu_ms_per_claim"] = 1000 * (sum(map(cpu_seconds, pids)) - cpu) / finished_claims / 5
    row["busiest_share"] = (sum(map(cpu_seconds, pids)) - cpu) / elapsed_seconds / 5
    row["memory_bytes_per_claim"] = 1e6 * (sum(map(resident_mb, pids)) - memory) / finished_claims / 5
    row["disk_bytes_per_claim"] = (sum(map(written_bytes, pids)) - written) / finished_claims / 5
    row["write_calls_per_claim"] = (sum(map(write_calls, pids)) - write_calls_before) / finished_claims / 5
    row["folder_bytes_per_claim"] = (
        1e6 * (sum(folder_mb(core["data_folder"]) for core in cores) - folders) / finished_claims / 5
    )
    row["load_average"] = os.getloadavg()[0]
    return row


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", required=True, help="build folder")
    parser.add_argument("--directory", required=True, help="folder for the fleet's data")
    parser.add_argument("--out", required=True, help="CSV file to write")
    parser.add_argument(
        "--network", default="127.52", help="first two bytes of the loopback addresses (default %(default)s)"
    )
    parser.add_argument("--rates", default="50,100,200,400", help="claims per second, comma-separated")
    parser.add_argument("--seconds", type=int, default=8, help="seconds at each rate (default %(default)s)")
    parser.add_argument("--tenants", type=int, default=10, help="tenants in the configuration")
    parser.add_argument("--workers", type=int, default=0, help="fake workers in the platform's list")
    arguments = parser.parse_args()
    arguments.build = os.path.abspath(arguments.build)
    directory = pathlib.Path(os.path.abspath(arguments.directory)) / "claims"
    shutil.rmtree(directory, ignore_errors=True)
    fleet = Fleet(arguments, directory)
    fleet.up()
    try:
        rows = [measure(arguments, fleet, int(rate)) for rate in arguments.rates.split(",")]
    finally:
        fleet.down()
    with open(arguments.out, "w", newline="") as file:
        writer = csv.DictWriter(file, fieldnames=list(rows[0]))
        writer.writeheader()
        for row in rows:
            writer.writerow(
                {name: f"{value:.3f}" if isinstance(value, float) else value for name, value in row.items()}
            )
    print(pathlib.Path(arguments.out).read_text())


if __name__ == "__main__":
    main()
