#!/usr/bin/env python3
"""Measures how long changes take until they are acknowledged, on a fleet of real processes.

Sends small changes one after the other to random cores while fronts and cores are killed and
started, or frozen and woken, by switchsaddle-testbed. Prints the distribution of the time from sending
to the acknowledgement, the share of changes first answered "committed, not yet in force", and for
each of these which fronts were behind.
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
    parser.add_argument("--key", required=True, help="the operator's key")
    parser.add_argument("--changes", type=int, default=200)
    parser.add_argument("--faults", choices=["none", "kill-fronts", "kill", "freeze", "both"], default="none")
    parser.add_argument("--pause", type=float, default=0.1, help="seconds between two changes")
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


def processes(directory, role):
    with open(directory + "/fleet.json", encoding="utf-8") as state:
        return [each for each in json.load(state)["processes"] if each["role"] == role]


def send(address, key, path, body=None, timeout=5):
    """Returns the status and the parsed body; status 0 where no answer came."""
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


class Disturber(threading.Thread):
    """Kills or freezes one process after the other until it is stopped."""

    def __init__(self, arguments, names):
        super().__init__(daemon=True)
        self.arguments = arguments
        self.names = names
        self.random = random.Random(arguments.seed)
        self.stopped = threading.Event()
        self.faults = 0

    def fleet(self, command, name):
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
                self.fleet("kill", name)
                self.stopped.wait(self.random.uniform(0, 1))
                self.fleet("start", name)
            else:
                self.fleet("freeze", name)
                self.stopped.wait(self.random.choice([0.7, 3, 3, 20]))
                self.fleet("wake", name)


def share(sorted_values, part):
    return sorted_values[min(len(sorted_values) - 1, int(part * len(sorted_values)))]


def commit(arguments, cores, picker, number):
    """Sends one change until it is acknowledged; the time, the first statuses, the laggards."""
    base = {"base_version": None}
    change_id = "measure-%d-%d" % (arguments.run, number)
    path = "evacuations/measured-%d" % (number // 2)
    begun = time.monotonic()
    statuses = []
    behind = []
    while True:
        address = picker.choice(cores)["http_address"]
        if base["base_version"] is None:
            status, held = send(address, arguments.key, "/v1/configuration")
            if status != 200:
                continue
            base["base_version"] = held["version"]
            begun = time.monotonic()
        body = {"change_id": change_id, "base_version": base["base_version"]}
        body.update({"remove": [path]} if number % 2 else {"set": {path: {}}})
        status, answer = send(address, arguments.key, "/v1/configuration/changes", body)
        statuses.append(status)
        if status == 200:
            return time.monotonic() - begun, statuses, behind
        if status == 202:
            _, in_force = send(address, arguments.key, "/v1/configuration/in-force")
            behind.append([each for each in in_force.get("fronts", []) if each["version"] < answer["version"]])
        elif status in (409, 422):
            raise SystemExit("refused: %s" % answer)


def main():
    arguments = parse_arguments()
    arguments.run = int(time.time())
    cores = processes(arguments.directory, "core")
    names = [each["name"] for each in processes(arguments.directory, "front")]
    if arguments.faults != "kill-fronts":
        names += [each["name"] for each in cores]
    disturber = Disturber(arguments, names)
    if arguments.faults != "none":
        disturber.start()
    picker = random.Random(arguments.seed)
    times, late, unanswered, laggards = [], 0, 0, []
    for number in range(arguments.changes):
        duration, statuses, behind = commit(arguments, cores, picker, number)
        times.append(duration * 1000)
        late += 202 in statuses
        unanswered += any(status not in (200, 202) for status in statuses)
        laggards += behind
        time.sleep(arguments.pause)
    disturber.stopped.set()
    if arguments.faults != "none":
        disturber.join()
    times.sort()
    print(
        "%d changes, faults %s (%d), seed %d: ms to the acknowledgement p50 %.0f p95 %.0f "
        "p99 %.0f max %.0f; %d first answered committed-not-yet-in-force; %d with a try that "
        "got no answer"
        % (
            len(times),
            arguments.faults,
            disturber.faults,
            arguments.seed,
            share(times, 0.5),
            share(times, 0.95),
            share(times, 0.99),
            times[-1],
            late,
            unanswered,
        )
    )
    for behind in laggards:
        print("behind at a 202:", ", ".join(each["front"] for each in behind) or "nobody any more")


if __name__ == "__main__":
    main()
