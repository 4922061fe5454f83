#!/usr/bin/env python3
"""Measures the time until configuration changes are acknowledged, on a fleet of real processes.

Sends small changes one after the other to random cores. Meanwhile switchsaddle-testbed kills and
restarts, or freezes and wakes, fronts and cores. Prints the distribution of the time from sending to
acknowledgement, the number of changes first answered "committed, not yet in force", and the fronts
that were behind at each such answer.
"""

import argparse
import json
import random
import subprocess
import threading
import time
import urllib.error
import urllib.request


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--testbed", required=True, help="path of switchsaddle-testbed")
    parser.add_argument("--directory", required=True, help="directory of the fleet")
    parser.add_argument("--key", required=True, help="operator key of the fleet")
    parser.add_argument("--changes", type=int, default=200, help="number of changes (default 200)")
    parser.add_argument(
        "--faults",
        choices=["none", "kill-fronts", "kill", "freeze", "both"],
        default="none",
        help="faults to inject (default none)",
    )
    parser.add_argument("--pause", type=float, default=0.1, help="seconds between two changes (default 0.1)")
    parser.add_argument("--seed", type=int, default=1, help="seed of the random choices (default 1)")
    return parser.parse_args()


def processes(directory, role):
    with open(directory + "/fleet.json", encoding="utf-8") as state:
        return [each for each in json.load(state)["processes"] if each["role"] == role]


def send(address, key, path, body=None, timeout=5):
    """Returns the status and the parsed body; the status is 0 if no response came."""
    request = urllib.request.Request(
        "http://" + address + path,
        data=None if body is None else json.dumps(body).encode(),
        headers={"Authorization": "Bearer " + key, "Content-Type": "application/json"},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, json.load(response)
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read() or b"{}")
    except (OSError, ValueError):
        return 0, {}


class FaultInjector(threading.Thread):
    """Thread that kills or freezes random processes, one at a time, until it is stopped."""

    def __init__(self, arguments, names):
        super().__init__(daemon=True)
        self.arguments = arguments
        self.names = names
        self.random = random.Random(arguments.seed)
        self.stopped = threading.Event()
        self.faults = 0

    def run_fleet_command(self, command, name):
        subprocess.run(
            [self.arguments.testbed, "fleet", command, "--directory", self.arguments.directory, name],
            check=False,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def run(self):
        while not self.stopped.wait(self.random.uniform(0.5, 3)):
            name = self.random.choice(self.names)
            kills = self.arguments.faults in ("kill", "kill-fronts") or (
                self.arguments.faults == "both" and self.random.random() < 0.5
            )
            self.faults += 1
            if kills:
                self.run_fleet_command("kill", name)
                self.stopped.wait(self.random.uniform(0, 1))
                self.run_fleet_command("start", name)
            else:
                self.run_fleet_command("freeze", name)
                self.stopped.wait(self.random.choice([0.7, 3, 3, 20]))
                self.run_fleet_command("wake", name)


def quantile(sorted_values, share):
    return sorted_values[min(len(sorted_values) - 1, int(share * len(sorted_values)))]


def commit_change(arguments, cores, random_source, number):
    """Retries one change until it is acknowledged.

    Returns the time in seconds, the status of each attempt, and the fronts behind at each 202.
    """
    base = {"base_version": None}
    change_id = "measure-%d-%d" % (arguments.run, number)
    path = "evacuations/measured-%d" % (number // 2)
    start = time.monotonic()
    statuses = []
    behind = []
    while True:
        address = random_source.choice(cores)["http_address"]
        if base["base_version"] is None:
            status, configuration = send(address, arguments.key, "/v1/configuration")
            if status != 200:
                continue
            base["base_version"] = configuration["version"]
            start = time.monotonic()
        body = {"change_id": change_id, "base_version": base["base_version"]}
        body.update({"remove": [path]} if number % 2 else {"set": {path: {}}})
        status, answer = send(address, arguments.key, "/v1/configuration/changes", body)
        statuses.append(status)
        if status == 200:
            return time.monotonic() - start, statuses, behind
        if status == 202:
            _, in_force = send(address, arguments.key, "/v1/configuration/in-force")
            behind.append([each for each in in_force.get("fronts", []) if each["version"] < answer["version"]])
        elif status in (409, 422):
            raise SystemExit("change %s was rejected with status %d: %s" % (change_id, status, answer))


def main():
    arguments = parse_arguments()
    arguments.run = int(time.time())
    cores = processes(arguments.directory, "core")
    names = [each["name"] for each in processes(arguments.directory, "front")]
    if arguments.faults != "kill-fronts":
        names += [each["name"] for each in cores]
    fault_injector = FaultInjector(arguments, names)
    if arguments.faults != "none":
        fault_injector.start()
    random_source = random.Random(arguments.seed)
    times, changes_with_202, changes_with_failed_attempt, fronts_behind = [], 0, 0, []
    for number in range(arguments.changes):
        duration, statuses, behind = commit_change(arguments, cores, random_source, number)
        times.append(duration * 1000)
        changes_with_202 += 202 in statuses
        changes_with_failed_attempt += any(status not in (200, 202) for status in statuses)
        fronts_behind += behind
        time.sleep(arguments.pause)
    fault_injector.stopped.set()
    if arguments.faults != "none":
        fault_injector.join()
    times.sort()
    print(
        "%d changes, faults %s (%d), seed %d: ms to the acknowledgement p50 %.0f p95 %.0f "
        "p99 %.0f max %.0f; %d first answered committed-not-yet-in-force; %d with an attempt that "
        "failed or got no answer"
        % (
            len(times),
            arguments.faults,
            fault_injector.faults,
            arguments.seed,
            quantile(times, 0.5),
            quantile(times, 0.95),
            quantile(times, 0.99),
            times[-1],
            changes_with_202,
            changes_with_failed_attempt,
        )
    )
    for behind in fronts_behind:
        print("behind at a 202:", ", ".join(each["front"] for each in behind) or "none any more")


if __name__ == "__main__":
    main()
