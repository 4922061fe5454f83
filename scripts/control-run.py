#!/usr/bin/env python3
"""Measures the control plane on a fleet of real processes on this machine.

  control-run.py latency  --layout FILE ...   latency of changes and CPU use of cores without failures
  control-run.py recovery --layout FILE ...   time until fronts serve after crashes and data loss
  control-run.py takeover --layout FILE ...   lease takeover after the platform watcher is killed or frozen

Each run starts its own fleet in a new directory below --directory and stops it at the end. One line
of JSON is printed for each figure. The exit code is 1 if a run failed a check.
"""

import argparse
import http.client
import json
import os
import subprocess
import sys
import time
import uuid

CALLER_KEY = "key-first"
SERVING_GOAL_SECONDS = 12.0
TAKEOVER_GOAL_SECONDS = 4.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class Failure(Exception):
    """A check of the run failed."""


def request(address, method, path, body=None, timeout=5.0, headers=None):
    """Returns the status and the decoded body; the status is 0 if no response came."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        payload = None if body is None else json.dumps(body)
        sent = {"Authorization": "Bearer " + Fleet.operator_key, "Content-Type": "application/json"}
        sent.update(headers or {})
        connection.request(method, path, payload, sent)
        response = connection.getresponse()
        text = response.read().decode()
    except (OSError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()
    try:
        return response.status, json.loads(text)
    except ValueError:
        return response.status, text


class Fleet:
    """A fleet of processes that switchsaddle-testbed starts and stops."""

    operator_key = ""

    def __init__(self, arguments, run):
        self.testbed = os.path.join(arguments.programs, "switchsaddle-testbed")
        self.directory = os.path.join(arguments.directory, f"{arguments.command}-{os.getpid()}-{run}")
        with open(arguments.layout, encoding="utf-8") as file:
            Fleet.operator_key = json.load(file)["operator_key"]
        try:
            self.command(
                "up",
                "--layout",
                arguments.layout,
                "--configuration",
                arguments.configuration,
                "--switchsaddle",
                os.path.join(arguments.programs, "switchsaddle"),
            )
        except subprocess.CalledProcessError:
            self.down()
            raise

    def command(self, action, *rest):
        subprocess.run(
            [self.testbed, "fleet", action, "--directory", self.directory, *rest], check=True, stdout=subprocess.DEVNULL
        )

    def processes(self, role):
        with open(os.path.join(self.directory, "fleet.json"), encoding="utf-8") as file:
            listed = json.load(file)["processes"]
        return [process for process in listed if process["role"] == role]

    def addresses(self, role):
        return {process["name"]: process["http_address"] for process in self.processes(role)}

    def down(self):
        self.command("down")


class Operator:
    """Sends configuration changes and retries each until it is acknowledged or rejected."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.version = 0
        self.sent = 0
        self.zones = set()

    def core_addresses(self):
        return list(self.fleet.addresses("core").values())

    def read(self, limit=10.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            for address in self.core_addresses():
                status, body = request(address, "GET", "/v1/configuration", timeout=2.0)
                if status == 200:
                    self.version = body["version"]
                    return body
            time.sleep(0.02)
        raise Failure(f"no core returned the configuration within {limit} s")

    def change(self, setting=None, removing=None, limit=30.0, address=None):
        """Retries one change until it is acknowledged. Returns the seconds from the first attempt to
        the acknowledgement."""
        self.sent += 1
        body = {
            "change_id": f"run-{os.getpid()}-{self.sent}",
            "base_version": self.version,
            "set": setting or {},
            "remove": removing or [],
        }
        begin = time.monotonic()
        addresses = [address] if address else self.core_addresses()
        attempts = 0
        while time.monotonic() < begin + limit:
            target = addresses[attempts % len(addresses)]
            attempts += 1
            status, answer = request(target, "POST", "/v1/configuration/changes", body)
            if status == 200:
                self.version = answer["version"]
                return time.monotonic() - begin
            if status in (409, 422, 401):
                raise Failure(f"a change was rejected with status {status}: {answer}")
            time.sleep(0.02)
        raise Failure(f"a change was not acknowledged within {limit} s")

    def change_anything(self, number):
        """Sends a small change; every tenth evacuates a zone, every thirtieth ends an evacuation."""
        if number % 30 == 29 and self.zones:
            zone = sorted(self.zones)[0]
            seconds = self.change(removing=["evacuations/" + zone])
            self.zones.discard(zone)
            return seconds
        if number % 10 == 0:
            zone = f"zone-{number}"
            seconds = self.change(setting={"evacuations/" + zone: {}})
            self.zones.add(zone)
            return seconds
        digest = f"{number:064x}"
        return self.change(setting={f"keys/run-{number}": {"sha256": digest, "tenant": "first"}})

    def check(self):
        """Checks that the acknowledged version was not lost and that exactly the expected zones are evacuated."""
        expected = self.version
        zones = set(self.zones)
        body = self.read()
        evacuated = {path.split("/", 1)[1] for path in body["document"] if path.startswith("evacuations/")}
        if body["version"] < expected:
            raise Failure(f"expected at least the acknowledged version {expected}, read version {body['version']}")
        if evacuated != zones:
            raise Failure(f"expected evacuations {sorted(zones)}, read {sorted(evacuated)}")


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def report(name, **figures):
    load = os.getloadavg()[0]
    print(json.dumps({"figure": name, **figures, "load_average": round(load, 1)}), flush=True)


def milliseconds(seconds):
    return round(seconds * 1000, 1)


def runs_one_shot(address):
    """Whether a front runs a one-shot request, which needs a claim at a majority of the cores."""
    headers = {"Authorization": "Bearer " + CALLER_KEY, "Idempotency-Key": uuid.uuid4().hex}
    body = {"service": "confirmations", "payload": "recovery"}
    status, answer = request(address, "POST", "/v1/one-shots", body, timeout=2.0, headers=headers)
    return status == 200 and answer["outcome"] == "ran"


def timed_one_shot(address):
    begin = time.monotonic()
    if not runs_one_shot(address):
        raise Failure(f"the one-shot request to {address} did not run")
    return time.monotonic() - begin


def wait_serving(fleet, operator, limit=60.0):
    """Waits until every front is ready, has the newest acknowledged version and has run a one-shot
    request. Returns the seconds that this took."""
    begin = time.monotonic()
    waiting = dict(fleet.addresses("front"))
    while waiting:
        if time.monotonic() > begin + limit:
            raise Failure(f"{sorted(waiting)} do not serve after {limit} s; core statuses: {core_statuses(fleet)}")
        for name, address in list(waiting.items()):
            ready, _ = request(address, "GET", "/readyz", timeout=1.0)
            status, body = request(address, "GET", "/v1/configuration", timeout=1.0)
            current = status == 200 and body["version"] >= operator.version
            if ready == 200 and current and runs_one_shot(address):
                del waiting[name]
        time.sleep(0.02)
    return time.monotonic() - begin


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def latency(arguments, run):
    fleet = Fleet(arguments, run)
    try:
        operator = Operator(fleet)
        operator.read()
        cores = fleet.processes("core")
        before = [cpu_seconds(core["pid"]) for core in cores]
        time.sleep(arguments.idle_seconds)
        idle = [cpu_seconds(core["pid"]) - start for core, start in zip(cores, before)]
        times = [operator.change_anything(number) for number in range(arguments.changes)]
        fronts = len(fleet.addresses("front"))
        report(
            "change latency ms",
            fronts=fronts,
            changes=len(times),
            p50=milliseconds(percentile(times, 0.50)),
            p95=milliseconds(percentile(times, 0.95)),
            p99=milliseconds(percentile(times, 0.99)),
            longest=milliseconds(max(times)),
        )
        latencies = [
            timed_one_shot(address)
            for address in fleet.addresses("front").values()
            for _ in range(arguments.changes // fronts)
        ]
        report(
            "one-shot through a front ms, with its claim and a worker's run",
            fronts=fronts,
            calls=len(latencies),
            p50=milliseconds(percentile(latencies, 0.50)),
            p95=milliseconds(percentile(latencies, 0.95)),
        )
        report(
            "idle core CPU, part of one processor",
            sessions=fronts,
            cores=[round(seconds / arguments.idle_seconds, 4) for seconds in idle],
        )
    finally:
        fleet.down()


def recovery(arguments, run):
    fleet = Fleet(arguments, run)
    try:
        operator = Operator(fleet)
        operator.read()
        for number in range(arguments.changes):
            operator.change_anything(number)

        def report_recovery(name):
            begin = time.monotonic()
            seconds = wait_serving(fleet, operator)
            operator.check()
            operator.change_anything(arguments.changes + operator.sent)
            acknowledged = time.monotonic() - begin
            report(
                "seconds after " + name,
                run=run,
                every_front_serves=round(seconds, 2),
                a_change_is_acknowledged=round(acknowledged, 2),
                changes=operator.sent,
                version=operator.version,
            )
            if seconds > SERVING_GOAL_SECONDS:
                raise Failure(f"{name}: fronts serve after {seconds:.1f} s, expected at most {SERVING_GOAL_SECONDS} s")

        fleet.command("kill", "cores")
        fleet.command("start", "cores")
        report_recovery("all cores killed and started")

        fleet.command("kill", "cores", "fronts")
        fleet.command("start", "cores", "fronts")
        report_recovery("all cores and fronts killed and started")

        fleet.command("kill", "cores")
        fleet.command("wipe", "core-5")
        replaced = fleet.addresses("core")["core-4"]
        fleet.command("replace", "core-4")
        fleet.command("start", "core-1", "core-2", "core-3", "core-5")
        report_recovery("all cores killed, one wiped, one replaced")

        wait_members(fleet, operator, without=replaced)
        fleet.command("kill", "core-1", "core-2")
        report_recovery("a second loss of two right after the replacement")
    finally:
        fleet.down()


def core_statuses(fleet):
    """Returns storage, core set, sessions and held leases of each core that responds."""
    statuses = {}
    for name, address in fleet.addresses("core").items():
        status, body = request(address, "GET", "/v1/status", timeout=1.0)
        if status == 200:
            core = {section: body[section] for section in ("storage", "core_set", "sessions")}
            core["leases"] = [lease for lease in body["leases"] if lease["held"]]
            statuses[name] = core
    return statuses


def wait_members(fleet, operator, without, limit=60.0):
    """Waits until every running core may vote and no membership change is pending."""
    begin = time.monotonic()
    while time.monotonic() < begin + limit:
        votes = 0
        for name, address in fleet.addresses("core").items():
            if address != without:
                status, body = request(address, "GET", "/v1/status", timeout=1.0)
                votes += 1 if status == 200 and votes_without_pending_change(body) else 0
        if votes == 5:
            report("seconds until the wiped and the new core are members", seconds=round(time.monotonic() - begin, 2))
            return
        time.sleep(0.05)
    raise Failure(f"the new cores are not members after {limit} s; core statuses: {core_statuses(fleet)}")


def votes_without_pending_change(status):
    """Whether the core may vote and no membership change is pending.

    During a change the former members, including the lost one, still count towards a majority.
    """
    return status["storage"]["may_vote"] and not status["core_set"]["previous"]


def leases(fleet):
    holders = {}
    for name, address in fleet.addresses("core").items():
        status, body = request(address, "GET", "/v1/status", timeout=0.3)
        if status == 200:
            for lease in body["leases"]:
                if lease["held"]:
                    holders.setdefault(lease["name"], []).append((lease["term"], name))
    return holders


def wait_watcher(fleet, not_by, limit=30.0):
    begin = time.monotonic()
    while time.monotonic() < begin + limit:
        holders = [entry for entry in leases(fleet).get("platform-watcher", []) if entry[1] != not_by]
        if holders:
            return max(holders), time.monotonic() - begin
        time.sleep(0.02)
    raise Failure(f"no core took the platform-watcher lease within {limit} s (excluded: {not_by})")


def takeover(arguments, run):
    fleet = Fleet(arguments, run)
    try:
        (term, holder), _ = wait_watcher(fleet, None)
        fleet.command("kill", holder)
        (next_term, next_holder), seconds = wait_watcher(fleet, holder)
        report(
            "watcher takeover seconds after a kill", run=run, seconds=round(seconds, 2), term=term, next_term=next_term
        )
        check_takeover(term, next_term, seconds)
        fleet.command("start", "--ready", holder)
        fleet.command("freeze", next_holder)
        (third_term, _), seconds = wait_watcher(fleet, next_holder)
        report(
            "watcher takeover seconds after a freeze",
            run=run,
            seconds=round(seconds, 2),
            term=next_term,
            next_term=third_term,
        )
        check_takeover(next_term, third_term, seconds)
        fleet.command("wake", next_holder)
        for _ in range(50):
            holders = leases(fleet).get("platform-watcher", [])
            if len(holders) > 1:
                raise Failure(f"expected one holder of the platform-watcher lease after the wake: {holders}")
    finally:
        fleet.down()


def check_takeover(term, next_term, seconds):
    if next_term <= term:
        raise Failure(f"expected a term above {term} after the takeover, found {next_term}")
    if seconds > TAKEOVER_GOAL_SECONDS:
        raise Failure(f"the takeover took {seconds:.1f} s, expected at most {TAKEOVER_GOAL_SECONDS} s")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("command", choices=["latency", "recovery", "takeover"])
    parser.add_argument("--programs", required=True, help="folder of switchsaddle and switchsaddle-testbed")
    parser.add_argument("--layout", required=True, help="layout file of the fleet")
    parser.add_argument("--configuration", required=True, help="initial configuration file")
    parser.add_argument("--directory", required=True, help="folder for the fleets' data")
    parser.add_argument("--changes", type=int, default=300, help="changes in each run (default %(default)s)")
    parser.add_argument("--runs", type=int, default=1, help="number of runs (default %(default)s)")
    parser.add_argument("--idle-seconds", type=float, default=5.0, help="seconds of the idle CPU measurement")
    arguments = parser.parse_args()
    actions = {"latency": latency, "recovery": recovery, "takeover": takeover}
    failed = 0
    for run in range(1, arguments.runs + 1):
        try:
            actions[arguments.command](arguments, run)
        except Failure as failure:
            failed += 1
            report("FAILED", run=run, what=str(failure))
    report("runs", command=arguments.command, runs=arguments.runs, failed=failed)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
