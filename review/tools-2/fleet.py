"""A small fleet on loopback addresses: the project's programs as processes, the rest as stand-ins.

The processes are started with the commands of deploy/system.toml and the settings templates of deploy/. Their
fields are those of DEPLOY.md for the deployment tavola-zentral. The stand-ins for the platform and the workers are
threads of this process.
"""

import base64
import http.server
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["zh-altstetten", "zh-oerlikon", "zh-glattbrugg"]
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "failClosed": False,
    "revokeMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 52,
    "quotaWindowS": 8,
    "quotaOvershoot": 0.1,
    "quotaSlack": 140000,
    "coldOvershoot": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 10,
}


class CannotRun(Exception):
    """The case could not be run; this is no verdict on the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def say(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


# Templates: {{a.b}}, {{a.b|json}}, {{#a}}..{{/a}}, {{^a}}..{{/a}}, {{.}} and {{,}}, as DEPLOY.md says.


def look_up(fields, name):
    value = fields
    for part in name.split("."):
        if not isinstance(value, dict) or part not in value:
            return None
        value = value[part]
    return value


def fill(template, fields):
    def section(match):
        kind, name, body = match.group(1), match.group(2), match.group(3)
        value = look_up(fields, name)
        if kind == "^":
            return "" if value else fill(body, fields)
        if not isinstance(value, list):
            return fill(body, fields) if value else ""
        parts = []
        for index, entry in enumerate(value):
            text = body.replace("{{.}}", str(entry))
            parts.append(text.replace("{{,}}", "," if index + 1 < len(value) else ""))
        return "".join(parts)

    def gap(match):
        name, _, form = match.group(1).partition("|")
        parts = name.split(".")
        if parts[-1].isdigit():
            value = look_up(fields, ".".join(parts[:-1]))[int(parts[-1])]
        else:
            value = look_up(fields, name)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^#^/}]+)\}\}", gap, text)


class Platform:
    """The platform's list of workers, in pages. A change shows after lag_s.

    Its page tokens are opaque: bytes in base64. As in every query, a "+" there stands for a blank, and a token that
    is not known gets 400.
    """

    def __init__(self, address, lag_s=0.8, page=50):
        self.lag_s, self.page = lag_s, page
        self.history = [(0.0, [])]
        self.tokens = {}
        self.refused = 0
        platform = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                query = urllib.parse.parse_qs(urllib.parse.urlparse(self.path).query)
                zone = query.get("zone", [None])[0]
                page = platform.page_of(zone, query.get("pageToken", [None])[0])
                platform.refused += page is None
                body = json.dumps(page or {"error": "unknown pageToken"}).encode()
                self.send_response(400 if page is None else 200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *args):
                pass

        self.server = http.server.ThreadingHTTPServer(address, Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def publish(self, instances):
        self.history.append((time.monotonic(), [dict(w) for w in instances]))

    def page_of(self, zone, token):
        """Returns a page, None if the token is not known."""
        if token is not None and token not in self.tokens:
            return None
        shown = [entry for entry in self.shown() if zone in (None, entry["zone"])]
        begin = 0 if token is None else self.tokens[token]
        end = begin + self.page
        following = None
        if end < len(shown):
            # The cursor's number, and bytes by which the platform knows its own tokens.
            following = base64.b64encode(end.to_bytes(4, "big") + bytes(range(0xF0, 0x100))).decode()
            self.tokens[following] = end
        return {"instances": shown[begin:end], "nextToken": following}

    def shown(self):
        until = time.monotonic() - self.lag_s
        return [entries for at, entries in self.history if at <= until][-1]


class Worker:
    """A worker: one thread for each connection. `answer(request, connection)` handles a request."""

    def __init__(self, address, identity, service, zone, answer, slots=64):
        self.address, self.identity, self.service, self.zone = address, identity, service, zone
        self.answer, self.slots = answer, slots
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(address)
        self.socket.listen(128)
        self.connections = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self, state="ready"):
        return {
            "id": self.identity,
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
        }

    def end(self):
        """Ends as a process does: its connections are closed, and new ones refused."""
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            self.connections.add(connection)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while True:
                request = read_message(reader)
                if request is None:
                    return
                expected = request.headers.get("switchsaddle-expect-instance")
                if expected is not None and expected != self.identity:
                    identity = request.headers.get("switchsaddle-request-id", "")
                    connection.sendall(message("HTTP/1.1 421 Misdirected", {"Switchsaddle-Request-Id": identity}))
                elif not self.answer(self, request, connection):
                    return
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            connection.close()


class Message:
    """A request or an answer."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body


def read_head(reader):
    first = reader.readline()
    if not first.endswith(b"\n"):
        return None
    headers = {}
    while True:
        line = reader.readline()
        if not line.endswith(b"\n"):
            return None
        line = line.strip().decode("latin-1")
        if not line:
            return Message(first.decode("latin-1").strip(), headers, b"")
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()


def read_message(reader):
    """Returns None where the connection ends before the message does."""
    head = read_head(reader)
    if head is None:
        return None
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            line = reader.readline()
            if not line.endswith(b"\n"):
                return None
            size = int(line.split(b";")[0], 16)
            part = reader.read(size + 2)
            if len(part) < size + 2:
                return None
            if size == 0:
                break
            parts.append(part[:-2])
        head.body = b"".join(parts)
        return head
    length = int(head.headers.get("content-length", "0"))
    head.body = reader.read(length)
    return head if len(head.body) == length else None


def message(first, headers, body=b""):
    lines = [first]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if "Transfer-Encoding" not in headers:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def call(address, first, headers, body=b"", timeout=2.0):
    """One request on a new connection; returns the whole answer, or None."""
    try:
        with socket.create_connection(address, timeout=timeout) as connection:
            connection.sendall(message(first, {"Host": "x", **headers}, body))
            return read_message(connection.makefile("rb"))
    except OSError:
        return None


class Fleet:
    """Cores and fronts. Every process that it starts is ended by close()."""

    def __init__(self, record, fronts=2, page=50):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.settings = {}
        self.program = os.path.join(ROOT, "target/programs/switchsaddle")
        if not os.access(self.program, os.X_OK):
            raise CannotRun("target/programs/switchsaddle is missing: run the deploy file's build")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.network, self.port = self.free_network()
        self.platform = Platform((f"127.{self.network}.9.1", self.port), page=page)
        self.cores, self.fronts = [], []
        for index, zone in enumerate([0, 0, 1, 1, 2]):
            self.cores.append(self.define("core", zone, index))
        for index in range(fronts):
            self.fronts.append(self.define("front", index % 3, index))

    def free_network(self):
        for _ in range(50):
            network, port = random.randrange(20, 250), random.randrange(20000, 30000)
            try:
                for host in (f"127.{network}.1.10", f"127.{network}.9.1"):
                    with socket.socket() as probe:
                        probe.bind((host, port))
                return network, port
            except OSError:
                continue
        raise CannotRun("no free port")

    def define(self, role, zone, index):
        name = f"{role}-{index + 1}"
        ip = f"127.{self.network}.{zone + 1}.{(10 if role == 'core' else 50) + index}"
        control = f"{ip}:{self.port + 7}"
        self.settings[name] = {
            "nodeName": name,
            "ip": ip,
            "zone": ZONES[zone],
            "region": "ch-zurich",
            "listen": {
                "front": f"{ip}:{self.port + 1}",
                "readiness": f"{ip}:{self.port + 2}",
                "control": control,
            },
            "portRange": [self.port + 10, self.port + 25],
            "bootstrap": True,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100},
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "cloud": {"address": f"127.{self.network}.9.1:{self.port}", "ratePerS": 40.0},
        }
        if role == "core":
            data = os.path.join(self.folder, name + "-data")
            os.mkdir(data)
            self.settings[name]["dataDir"] = data
        return name

    def address(self, name, kind):
        ip, port = self.settings[name]["listen"][kind].split(":")
        return ip, int(port)

    def start(self, name, first=False):
        role = self.roles[name.split("-")[0]]
        fields = dict(self.settings[name], bootstrap=first)
        seeds = [self.cores[0], self.cores[2], self.cores[4]]
        fields["seeds"] = [self.settings[seed]["listen"]["control"] for seed in seeds]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = fill(file.read(), fields)
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        command = [path if part.startswith("/etc/") else part for part in role["run"].split()]
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=environment
        )
        self.record.say(f"start {name}")

    def start_all(self):
        for name in self.cores + self.fronts:
            self.start(name, first=True)

    def signal(self, name, number):
        self.record.say(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def configure(self, configuration, base=0, seconds=20.0, path="/config/replace"):
        """Sends a change until it is acknowledged; returns the time of that, None if refused."""
        body = json.dumps(configuration).encode()
        headers = {"Switchsaddle-Base-Version": str(base), "Content-Type": "application/json"}
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for name in self.cores:
                address = self.address(name, "control")
                answer = call(address, f"POST {path} HTTP/1.1", headers, body)
                status = answer.first.split()[1] if answer else "none"
                version = configuration["version"]
                self.record.say(f"operator: {path} version {version} at {name}: {status}")
                if status == "200":
                    return time.monotonic()
                if status in ("400", "412"):
                    return None
                time.sleep(0.3)
        raise CannotRun("the configuration was not acknowledged")

    def read_configuration(self, seconds=10.0):
        """Returns the body of GET /config/get of some core."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for name in self.cores:
                answer = call(self.address(name, "control"), "GET /config/get HTTP/1.1", {})
                if answer and answer.first.split()[1] == "200":
                    self.record.say(f"operator: /config/get at {name}: {answer.body.decode()}")
                    return answer.body
            time.sleep(0.3)
        raise CannotRun("the configuration could not be read")

    def ready(self, name):
        answer = call(self.address(name, "readiness"), "GET /readyz HTTP/1.1", {}, timeout=1.0)
        return answer is not None and answer.first.split()[1] == "200"

    def await_ready(self, seconds=20.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if all(self.ready(name) for name in self.fronts):
                return
            time.sleep(0.2)
        raise CannotRun("the fronts did not become ready")

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
