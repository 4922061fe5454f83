"""A small deployment on loopback: the project's daemons, and stand-ins for the platform, workers, clients and the
operator. Used by the scripts of the cases; Python's standard library only.

The settings files are made from the templates of the deploy file, with the fields that DEPLOY.md shows for a small
deployment. Each machine has a loopback address of its own; ports are alike on all machines of a run.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "programs", "switchsaddle")
ZONES = ["zone-a", "zone-b", "zone-c"]
BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 8,
    "configMs": 2000,
    "outerMs": 5000,
    "failClosed": False,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 52,
    "quotaWindowS": 8,
    "quotaOvershoot": 0.1,
    "quotaSlack": 140000,
    "evacuateMs": 5000,
    "recoveryS": 12,
}


class CannotRun(Exception):
    """The case could not be set up."""


# Templates of the deploy file.


def lookup(name, scopes):
    for scope in reversed(scopes):
        value, found = scope, True
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                found = False
                break
        if found:
            return value
    return None


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(item) for item in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def fill(template, scopes):
    """Fills the gaps of a template as DEPLOY.md describes them."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def fill_section(match):
        kind, name, inner = match.groups()
        value = lookup(name, scopes)
        if kind == "^":
            return fill(inner, scopes) if not value else ""
        if isinstance(value, list):
            parts = []
            for index, item in enumerate(value):
                comma = "," if index + 1 < len(value) else ""
                text = inner.replace("{{,}}", comma).replace("{{.}}", as_text(item))
                parts.append(fill(text, scopes))
            return "".join(parts)
        return fill(inner, scopes) if value else ""

    def fill_gap(match):
        name, as_json = match.group(1), match.group(2)
        value = lookup(name, scopes)
        return json.dumps(value) if as_json else as_text(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill_gap, section.sub(fill_section, template))


# HTTP.


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_message(reader):
    """Reads a message with Content-Length or chunks; raises on a connection that ends early."""
    first = (await reader.readuntil(b"\r\n")).decode().strip()
    headers = {}
    while True:
        line = (await reader.readuntil(b"\r\n")).decode().strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(first, headers, body)


def request_bytes(method, path, headers, body):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines + [f"Content-Length: {len(body)}", "", ""])).encode() + body


def answer_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} Status"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines + [f"Content-Length: {len(body)}", "", ""])).encode() + body


async def call(address, method, path, headers=None, body=b"", timeout=1.0):
    """One request on a new connection. Returns the answer, or None without one within the time."""
    host, port = address
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(request_bytes(method, path, {"Host": f"{host}:{port}", **(headers or {})}, body))
            return await read_message(reader)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


# The deployment.


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(f"{self.now():9.3f} {text}", flush=True)


class Worker:
    """A sound worker: answers after its work time, checks the instance, echoes the id, keeps connections."""

    def __init__(self, fleet, service, zone, number, work_s=0.02):
        self.fleet = fleet
        self.service = service
        self.zone = zone
        self.id = f"i-{service}-{number}"
        self.work_s = work_s
        self.runs = []
        self.state = "ready"
        self.address = (fleet.ip(9, 10 + number), fleet.port + 9)
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def entry(self):
        return {
            "service": self.service,
            "address": "%s:%d" % self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 16,
            "state": self.state,
            "coldLeftMs": 0,
            "phase": "both",
            "models": [],
            "id": self.id,
        }

    async def serve(self, reader, writer):
        try:
            while True:
                await self.answer(await read_message(reader), writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, message, writer):
        if message.first.startswith("GET "):
            writer.write(answer_bytes(200, {"Switchsaddle-Instance-Id": self.id}, b""))
            return
        request = message.headers.get("switchsaddle-request-id", "")
        echo = {"Switchsaddle-Request-Id": request}
        if message.headers.get("switchsaddle-expect-instance", self.id) != self.id:
            writer.write(answer_bytes(421, {**echo, "Switchsaddle-Not-Executed": "1"}, b""))
            return
        self.runs.append((self.fleet.record.now(), request))
        self.fleet.record.write(f"run {request} by {self.id} in {self.zone}")
        await asyncio.sleep(self.work_s)
        writer.write(answer_bytes(200, {**echo, "Switchsaddle-Server-Seal": f"seal-{request}"}, b"done"))


class Fleet:
    def __init__(self, record, cores=5, fronts=3):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="switchsaddle-review-")
        self.net = random.randint(20, 250)
        self.port = 0
        self.workers = []
        self.nodes = {}
        self.core_names = [f"core-{number}" for number in range(1, cores + 1)]
        self.front_names = [f"front-{number}" for number in range(1, fronts + 1)]
        self.platform = None

    def ip(self, group, number):
        return f"127.{self.net}.{group}.{number}"

    def choose_ports(self):
        """Finds a block of ports that is free on the addresses of this run."""
        for _ in range(50):
            port = random.randint(20000, 30000)
            try:
                for offset in range(10):
                    with socket.socket() as probe:
                        probe.bind((self.ip(1, 1), port + offset))
                self.port = port
                return
            except OSError:
                continue
        raise CannotRun("no free ports")

    def address_of(self, name):
        kind, number = name.split("-")
        return self.ip(1 if kind == "core" else 2, int(number))

    def control(self, name):
        return (self.address_of(name), self.port + 1)

    def front(self, name):
        return (self.address_of(name), self.port + 2)

    def readiness(self, name):
        return (self.address_of(name), self.port + 3)

    def fields(self, name, first_start):
        kind, number = name.split("-")
        ip = self.address_of(name)
        listen = {"control": f"{ip}:{self.port + 1}"}
        if kind == "front":
            listen = {"front": f"{ip}:{self.port + 2}", "readiness": f"{ip}:{self.port + 3}"}
        return {
            "ip": ip,
            "zone": ZONES[(int(number) - 1) % len(ZONES)],
            "region": "region-1",
            "listen": listen,
            "portRange": [self.port + 4, self.port + 8],
            "seeds": ["%s:%d" % self.control(core) for core in self.core_names[:3]],
            "bootstrap": first_start,
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "cloud": {"address": "%s:%d" % (self.ip(9, 1), self.port), "ratePerS": 40.0},
            "dataDir": os.path.join(self.folder, name),
        }

    def start_node(self, name, first_start=True):
        kind = name.split("-")[0]
        with open(os.path.join(ROOT, "deploy", f"{kind}.json.template"), encoding="utf-8") as file:
            settings = fill(file.read(), [self.fields(name, first_start)])
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        with open(os.path.join(self.folder, f"{name}.log"), "ab") as log:
            self.nodes[name] = subprocess.Popen(
                [PROGRAM, kind, "--settings", path], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def signal(self, name, number):
        self.record.say(f"signal {signal.Signals(number).name} to {name}")
        self.nodes[name].send_signal(number)

    async def serve_platform(self, reader, writer):
        try:
            while True:
                await read_message(reader)
                body = json.dumps({"instances": [worker.entry() for worker in self.workers], "nextToken": None})
                writer.write(answer_bytes(200, {"Content-Type": "application/json"}, body.encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def start(self):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the program of the deploy file is not built")
        self.choose_ports()
        self.platform = await asyncio.start_server(self.serve_platform, self.ip(9, 1), self.port)
        for worker in self.workers:
            worker.address = (worker.address[0], self.port + 9)
            await worker.start()
        for name in self.core_names + self.front_names:
            self.start_node(name)

    async def wait_ready(self, timeout=20.0):
        """Waits until every front calls itself ready."""
        end = time.monotonic() + timeout
        for name in self.front_names:
            while True:
                answer = await call(self.readiness(name), "GET", "/readyz")
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"{name} is not ready")
                await asyncio.sleep(0.2)

    def stop(self):
        for process in self.nodes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.nodes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Operator:
    """Sends an order to one node after the other, as PROTOCOL.md says: a second without a response, a failure or a
    5xx leads to the next node; the order is then sent again, unchanged, for at most ackMs."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def order(self, what, path, nodes, headers=None, body=b"", within=BOUNDS["ackMs"] / 1000):
        record = self.fleet.record
        end = record.now() + within
        pause = 0.1
        attempt = 0
        while record.now() < end:
            name = nodes[attempt % len(nodes)]
            attempt += 1
            record.say(f"operator sends {what} to {name}")
            answer = await call(self.fleet.control(name), "POST", path, headers, body)
            shown = "no response" if answer is None else f"{answer.status}"
            record.say(f"operator got {shown} for {what} from {name}")
            if answer is not None and answer.status < 500:
                return answer.status, record.now()
            await asyncio.sleep(pause)
            pause *= 2
        return None, record.now()

    async def replace(self, configuration, base, nodes=None, within=20.0):
        body = json.dumps(configuration).encode()
        headers = {"Switchsaddle-Base-Version": str(base), "Content-Type": "application/json"}
        what = f"config {configuration['version']} on {base}"
        return await self.order(what, "/config/replace", nodes or self.fleet.core_names, headers, body, within)

    async def patch(self, patch, base, nodes=None, what=None):
        body = json.dumps(patch).encode()
        headers = {"Switchsaddle-Base-Version": str(base), "Content-Type": "application/json"}
        what = what or f"patch {patch['version']} on {base}"
        return await self.order(what, "/config/patch", nodes or self.fleet.core_names, headers, body)

    async def evacuate(self, zone, begin, nodes):
        verb = "begin" if begin else "finish"
        return await self.order(f"evacuate {zone} {verb}", f"/evacuate/{zone}/{verb}", nodes)


class Client:
    """Sends requests at a steady rate, each on a new connection, to one front after the other."""

    def __init__(self, fleet, path, per_s, headers=None, host="shop.example"):
        self.fleet = fleet
        self.path = path
        self.per_s = per_s
        self.headers = headers or {}
        self.host = host
        self.sent = {}
        self.answers = {}
        self.tasks = set()
        self.running = True

    async def send(self, front, request):
        record = self.fleet.record
        self.sent[request] = (record.now(), front)
        record.write(f"sent {request} to {front}")
        headers = {
            "Host": self.host,
            "Switchsaddle-Request-Id": request,
            "Switchsaddle-Deadline-Ms": "3000",
            **self.headers,
        }
        answer = await call(self.fleet.front(front), "POST", self.path, headers, b"x", timeout=3.0)
        self.answers[request] = (record.now(), None if answer is None else answer.status)
        record.write(f"answered {request} by {front}: {'nothing' if answer is None else answer.status}")

    async def run(self):
        number = 0
        while self.running:
            front = self.fleet.front_names[number % len(self.fleet.front_names)]
            task = asyncio.create_task(self.send(front, f"{random.getrandbits(64):016x}"))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            number += 1
            await asyncio.sleep(1 / self.per_s)

    async def finish(self):
        self.running = False
        if self.tasks:
            await asyncio.wait(list(self.tasks), timeout=5)


def limits():
    return {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def route(name, prefix, service, **more):
    plain = {
        "name": name,
        "host": "shop.example",
        "pathPrefix": prefix,
        "type": "safe",
        "timeoutMs": 3000,
        "targetMs": 300,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": True,
    }
    return {**plain, **more}


def service(name, **more):
    return {"name": name, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": False, **more}


def run_case(folder, body):
    """Runs the case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        fleet = Fleet(record)
        broken = None
        try:
            async with asyncio.timeout(110):
                broken = await body(fleet, trouble)
        except (CannotRun, TimeoutError, OSError) as error:
            record.say(f"the case could not run: {error!r}")
        finally:
            fleet.stop()
        record.say({None: "result: could not run", True: "result: broken", False: "result: held"}[broken])
        # Connections of the stand-ins are still open; they end with the process.
        os._exit({None: 2, True: 1, False: 0}[broken])

    asyncio.run(main())
