"""Stand-ins of the users' platform on loopback: backends, a counter, a discovery agent, and clients.

They follow the users' protocol page (RESP2 for clients, backends and the counter, HTTP/1.1 long polls for discovery). Everything runs in
one asyncio loop, on free ports of 127.0.0.1. Only the Python standard library is used.
"""

import asyncio
import logging
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def deploy_command(key):
    """The command of a key in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            if line.startswith(key + " "):
                return line.split('"')[1]
    raise SystemExit(2)


def now_ms():
    """Unix milliseconds that never step."""
    return _UNIX_MS + (time.monotonic() - _MONOTONIC) * 1000.0


_UNIX_MS = time.time() * 1000.0
_MONOTONIC = time.monotonic()


class Record:
    """The record of a run: one line for each event, written to record.txt at the end."""

    def __init__(self):
        self.lines = []
        self.begun = time.monotonic()

    def add(self, text):
        self.lines.append("%9.4f %s" % (time.monotonic() - self.begun, text))

    def write(self, path):
        with open(path, "w") as file:
            file.write("\n".join(self.lines) + "\n")


def reserve_port():
    """A free port, and the socket that keeps it: bound and never listening, so that only a process that asks for this port gets it."""
    keeper = socket.socket()
    keeper.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    keeper.bind(("127.0.0.1", 0))
    return keeper.getsockname()[1], keeper


def command(*words):
    out = [b"*%d\r\n" % len(words)]
    for word in words:
        if isinstance(word, str):
            word = word.encode()
        out.append(b"$%d\r\n" % len(word))
        out.append(word)
        out.append(b"\r\n")
    return b"".join(out)


class Parser:
    """Takes whole RESP2 messages from received bytes."""

    def __init__(self):
        self.buffer = bytearray()

    def feed(self, data):
        self.buffer += data

    def _line(self, at):
        end = self.buffer.find(b"\r\n", at)
        return None if end < 0 else (bytes(self.buffer[at:end]), end + 2)

    def _value(self, at):
        line = self._line(at)
        if line is None:
            return None
        text, at = line
        kind, rest = text[:1], text[1:]
        if kind in b"+-:":
            return (text, at)
        length = int(rest)
        if kind == b"$":
            if length < 0:
                return (None, at)
            if len(self.buffer) < at + length + 2:
                return None
            return ((b"$", bytes(self.buffer[at : at + length])), at + length + 2)
        items = []
        for _ in range(max(length, 0)):
            value = self._value(at)
            if value is None:
                return None
            items.append(value[0])
            at = value[1]
        return (items, at)

    def take(self):
        """The next message, or None. A bulk string is ("$", bytes), a line is its bytes, an array a list."""
        if not self.buffer:
            return None
        value = self._value(0)
        if value is None:
            return None
        message, end = value
        del self.buffer[:end]
        return [message]


def fields_of(word):
    return dict(pair.split("=", 1) for pair in word.decode().split(","))


class Backend:
    """A backend: slots, a queue, and a service time that is drawn anew for each request. It answers in the order of the requests of a
    connection, drops what its caller has given up while it waits, and logs each request that arrived whole and each that ran."""

    def __init__(self, world, name, zone="north-hall", cell=0, slots=16, queue=36, work_ms=100.0):
        self.world, self.name, self.zone, self.cell = world, name, zone, cell
        self.slots, self.queue, self.work_ms = slots, queue, work_ms
        self.running, self.waiting = 0, []
        self.status, self.since_ms = "ready", 0
        self.arrived, self.ran = [], []
        self.is_hanging = False
        self.connections = set()
        self.address = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {
            "name": self.name, "address": self.address, "zone": self.zone, "type": "small-2core", "group": self.cell,
            "status": self.status, "weight": 1.0, "since_ms": self.since_ms,
        }

    async def serve(self, reader, writer):
        self.connections.add(writer)
        parser, state = Parser(), {"open": True}
        queue = asyncio.Queue()
        answers = asyncio.ensure_future(self.answer_in_order(queue, writer))
        try:
            while True:
                data = await reader.read(1 << 16)
                if not data:
                    break
                parser.feed(data)
                while (message := parser.take()) is not None:
                    words = [word[1] for word in message[0]]
                    task = asyncio.ensure_future(self.handle(words, state, writer))
                    queue.put_nowait(task)
        except (ConnectionError, ValueError):
            pass
        state["open"] = False
        answers.cancel()
        self.connections.discard(writer)
        writer.close()

    async def answer_in_order(self, queue, writer):
        while True:
            task = await queue.get()
            answer = await task
            if answer is None:
                await asyncio.Event().wait()
            writer.write(answer)

    async def handle(self, words, state, writer):
        verb = words[0]
        if verb == b"PING":
            return b"+PONG\r\n"
        if verb in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if verb not in (b"API.READ", b"API.WRITE"):
            return b"-ERR no such command\r\n"
        request = words[2].decode()
        fields = fields_of(words[3])
        self.world.on_arrival(self, request, words, fields)
        self.arrived.append((now_ms(), request))
        if self.is_hanging:
            return None
        if self.running >= self.slots:
            if len(self.waiting) >= self.queue:
                return b"-BUSY\r\n"
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            await turn
        else:
            self.running += 1
        try:
            if not state["open"]:
                return None
            self.world.on_run(self, request, words, fields)
            self.ran.append((now_ms(), request))
            await asyncio.sleep(self.service_time())
            if self.is_hanging:
                return None
        finally:
            if self.waiting:
                self.waiting.pop(0).set_result(None)
            else:
                self.running -= 1
        return self.answer(request, words)

    def service_time(self):
        return random.expovariate(1.0) * self.work_ms / 1000.0

    def answer(self, request, words):
        value = ("value of %s" % request).encode()
        return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)


class Counter:
    """The counter: totals by name, which are forgotten when their life is over."""

    def __init__(self):
        self.totals = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        parser = Parser()
        try:
            while data := await reader.read(1 << 16):
                parser.feed(data)
                while (message := parser.take()) is not None:
                    words = [word[1] for word in message[0]]
                    writer.write(self.answer(words))
        except (ConnectionError, ValueError):
            pass
        writer.close()

    def answer(self, words):
        if words[0] == b"PING":
            return b"+PONG\r\n"
        if words[0] in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if words[0] != b"ADDGET" or len(words) != 4:
            return b"-ERR no such call\r\n"
        now = now_ms()
        total, until = self.totals.get(words[1], (0.0, 0.0))
        if now >= until:
            total, until = 0.0, now + min(float(words[3]), 60000.0)
        total += float(words[2])
        self.totals[words[1]] = (total, until)
        text = b"%.7g" % total
        return b"$%d\r\n%s\r\n" % (len(text), text)


class Discovery:
    """The agent: the list of the backends, whole or as changes, with long polls."""

    def __init__(self, backends):
        self.backends = list(backends)
        self.index = 41
        self.changes = []
        self.changed = asyncio.Event()
        self.is_silent = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def whole(self):
        entries = [backend.entry() for backend in self.backends]
        return {"index": self.index, "snapshot": True, "endpoints": entries}

    def tell(self, entry):
        """A change that every gateway's agent has from now on."""
        self.index += 1
        self.changes.append((self.index, entry))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
                body = json.dumps(await self.answer(query)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def answer(self, query):
        if "since" not in query:
            return self.whole()
        since = int(query["since"])
        until = time.monotonic() + int(query.get("timeout_ms", "0")) / 1000.0
        while self.index <= since and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        entries = [entry for index, entry in self.changes if index > since]
        return {"index": self.index, "snapshot": False, "endpoints": entries}


def settings(number, gateways=3):
    """The settings of a gateway, as the users' wire page shows them for a small deployment."""
    def plan(name, rate, burst, price, cost):
        return {
            "name": name, "per_second": rate, "peak_units": burst, "open": 0, "price": price, "extra_worth": 0.0, "excess_cost": cost,
            "ceiling_rate": 0.0, "cap_depth": 0.0, "tolerance": 0.0,
        }

    def work(name, credit, on_time, late, effect, scope, window):
        return {
            "name": name, "credit": credit, "deadline": 3000000, "effect": effect, "key_scope": scope, "late_share": late,
            "on_time": on_time, "streaming": False, "window": window,
        }

    return {
        "balancers": gateways, "my_number": number, "family": "gate", "kinds": ["small-2core"], "layer": 0,
        "membership_mode": "automatic", "tick": 2000, "weights": "nominal", "zone": "north-hall",
        "zones": ["north-hall", "middle-hall", "south-hall"], "stages": ["farm-servers"], "clients": {"marks_retry": True},
        "bounds": {
            "conn_idle": 30000000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000, "dial_timeout": 250000, "max_attempts": 6,
            "max_open": 20000, "max_retry_after": 2000000, "max_streams": 32, "may_cancel": True, "peer_messages": True, "probing": True,
            "retry_after": True, "second_copies": True,
        },
        "classes": [
            work("shamba-view", 2.0, 750000, 0.0, "pure", "all", 5000000),
            work("market-prices", 1.0, 800000, 0.0, "pure", "all", 5000000),
            work("harvest-sale", 2.0, 750000, 0.2, "token", "cell", 3000000),
        ],
        "plans": [plan("mbegu", 3.5, 21.0, 1.2, 1.0), plan("mavuno", 17.0, 27.0, 1.6, 0.8)],
        "report": {"fields": ["concurrent", "depth"], "via": "probe"},
        "rules": {
            "answer_slack": 8000, "cold": 18000000, "cold_from": 0.18, "fall_multiple": 2.0, "must_ask_in": 10000000,
            "stop_sending_within": 2000000, "tip_after": 1000000,
        },
        "specifics": {
            "cost_after": False, "count_fee": 0.005, "count_limit": 80000, "counter": True, "meter_period": 0, "peer_in_per_s": 100.0,
            "units_top": 4,
        },
    }


class Gateway:
    """A gateway as a process of its own, started by the deploy file's `run`."""

    def __init__(self, number, world, memory_mb=32, sockets=256, change=None):
        self.number, self.memory_mb = number, memory_mb
        self.port, self.port_keeper = reserve_port()
        self.listen = "127.0.0.1:%d" % self.port
        self.folder = tempfile.mkdtemp(prefix="chalkdeck-review-")
        self.config_file = os.path.join(self.folder, "config.json")
        self.settings = settings(number, world.gateway_count)
        if change:
            change(self.settings)
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.process = None

    def configure(self, discovery, counter, known):
        config = {
            "name": "n%d" % self.number, "listen": self.listen, "discovery": discovery, "counter": counter, "seed": "%x" % random.getrandbits(60),
            "limits": self.limits, "known": known, "settings": self.settings,
        }
        text = json.dumps(config)
        with open(self.config_file + ".new", "w") as file:
            file.write(text)
        os.rename(self.config_file + ".new", self.config_file)

    def start(self):
        environment = dict(os.environ)
        environment.update(
            ROUTER_NAME="n%d" % self.number, ROUTER_LISTEN=self.listen, ROUTER_CONFIG=self.config_file, TMPDIR=self.folder
        )
        self.log = open(os.path.join(self.folder, "log.txt"), "ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log
        )

    async def wait_until_ready(self):
        until = time.monotonic() + 20
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(command("PING"))
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line == b"+PONG\r\n":
                    return
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.02)
            if self.process.poll() is not None:
                break
        raise RuntimeError("gateway %d is not ready" % self.number)

    def signal(self, which):
        self.process.send_signal(which)

    def memory_kb(self, field="RssAnon"):
        try:
            with open("/proc/%d/status" % self.process.pid) as file:
                for line in file:
                    if line.startswith(field + ":"):
                        return int(line.split()[1])
        except OSError:
            pass
        return 0

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class World:
    """All parties of a run."""

    gateway_count = 3

    def __init__(self):
        self.record = Record()
        self.backends, self.gateways = [], []
        self.arrivals, self.runs = {}, {}
        self.helpers = []

    def on_arrival(self, backend, request, words, fields):
        self.arrivals.setdefault(request, []).append((time.monotonic(), backend.name))

    def on_run(self, backend, request, words, fields):
        self.runs.setdefault(request, []).append((time.monotonic(), backend.name))

    async def start(self, backends, gateways, discovery=Discovery):
        """Starts the backends, the counter and discovery, then the gateways."""
        self.backends = backends
        for backend in backends:
            await backend.start()
        self.counter = Counter()
        await self.counter.start()
        self.discovery = discovery(backends)
        await self.discovery.start()
        self.gateways = gateways
        for gateway in gateways:
            gateway.configure(self.discovery.address, self.counter.address, self.discovery.whole())
            gateway.start()
        for gateway in gateways:
            await gateway.wait_until_ready()

    async def start_helper(self, *words):
        """Starts a process that plays clients: a case's own script with these words."""
        out = asyncio.subprocess.PIPE
        helper = await asyncio.create_subprocess_exec(sys.executable, *words, stdout=out, stderr=asyncio.subprocess.DEVNULL)
        self.helpers.append(helper)
        return helper

    def end(self):
        """Ends all processes that the run started, and removes the temporary folders."""
        for helper in self.helpers:
            if helper.returncode is None:
                helper.kill()
        for gateway in self.gateways:
            gateway.end()
            shutil.rmtree(gateway.folder, ignore_errors=True)


class Client:
    """A connection of the front to one gateway. It sends one request at a time and reads its answer."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def open(self):
        if self.writer is None or self.writer.is_closing():
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
            self.parser = Parser()

    async def ask(self, data, wait):
        """Sends a command; returns its answer, or None when none came in time, or "closed"."""
        await self.open()
        self.writer.write(data)

        async def receive():
            while (message := self.parser.take()) is None:
                data = await self.reader.read(1 << 16)
                if not data:
                    return "closed"
                self.parser.feed(data)
            return message[0]

        try:
            return await asyncio.wait_for(receive(), wait)
        except asyncio.TimeoutError:
            self.close()
            return None
        except ConnectionError:
            self.close()
            return "closed"

    def close(self):
        if self.writer:
            self.writer.close()
            self.writer = None


def judge(answer, request):
    """What an answer means to a client: served, refused, failed, foreign, none or closed."""
    if answer is None or answer == "closed":
        return "none" if answer is None else "closed"
    if isinstance(answer, tuple):
        return "served" if answer[1].startswith(("value of %s" % request).encode()) else "foreign"
    if isinstance(answer, bytes) and answer.startswith(b"-BUSY"):
        return "refused"
    return "failed"


def request_id():
    return "%016x" % random.getrandbits(64)


def customer_id():
    return "%016x" % random.getrandbits(33)


# asyncio reports each write to a connection that its peer has reset.
logging.getLogger("asyncio").setLevel(logging.CRITICAL)

HALLS = ("north-hall", "middle-hall", "south-hall")


def usual_backends(world, count=9, **more):
    """The farm servers of a small deployment: three halls, two cells."""
    return [Backend(world, "s-%d" % i, zone=HALLS[i % 3], cell=i * 2 // count, **more) for i in range(count)]


class UsualClients:
    """The front's connections to the gateways, each with one request at a time. The check is the rule as written: each request that a
    gateway has taken gets one final answer, half a second after its time at the latest, with the 50 ms by which every limit is extended."""

    CLASSES = (("shamba-view", 0.52), ("market-prices", 0.37), ("harvest-sale", 0.11))
    LATEST_S = 0.5 + 0.05

    def __init__(self, world, connections=8, per_second=20.0, deadlines=(1500, 2000, 3000), per_connection=0):
        self.world, self.connections, self.per_second, self.deadlines = world, connections, per_second, deadlines
        # A connection is closed after so many requests, and the next request comes on a new one; 0 means never.
        self.per_connection = per_connection
        self.results = []

    def request(self):
        request, customer, d = request_id(), customer_id(), random.choice(self.deadlines)
        name = random.choices([name for name, _ in self.CLASSES], [share for _, share in self.CLASSES])[0]
        plan = random.choice(("mbegu", "mavuno"))
        extras = "units=1,spread=2,first=0"
        if name == "harvest-sale":
            fields = "c=%s,t=%s,d=%d,k=%016x,%s" % (name, plan, d, random.getrandbits(62), extras)
            return request, d, command("API.WRITE", customer, request, fields, b"a sale")
        return request, d, command("API.READ", customer, request, "c=%s,t=%s,d=%d,%s" % (name, plan, d, extras))

    async def run_one(self, gateway, until):
        client, asked = Client(gateway.port), 0
        while time.monotonic() < until:
            await asyncio.sleep(random.expovariate(self.per_second / self.connections))
            asked += 1
            if self.per_connection and asked % self.per_connection == 0:
                client.close()
            request, d, data = self.request()
            sent = time.monotonic()
            try:
                answer = await client.ask(data, 8.0)
                if answer == "closed":
                    # The gateway closed the connection between two requests: the client sends that request once more on a new one.
                    client.close()
                    sent = time.monotonic()
                    answer = await client.ask(data, 8.0)
            except OSError:
                client.close()
                self.note(gateway, request, d, "unreachable", 0.0, False)
                continue
            took = time.monotonic() - sent
            outcome = judge(answer, request)
            is_lost = outcome in ("none", "closed", "foreign") or took > d / 1000.0 + self.LATEST_S
            self.note(gateway, request, d, outcome, took, is_lost)
        client.close()

    def note(self, gateway, request, d, outcome, took, is_lost):
        self.results.append((gateway.number, outcome, is_lost))
        lost = " LOST" if is_lost else ""
        self.world.record.add("gateway %d request %s d=%d: %s after %.3f s%s" % (gateway.number, request, d, outcome, took, lost))

    def start(self, gateways, until):
        each = [(gateway, until) for gateway in gateways for _ in range(self.connections)]
        return [asyncio.ensure_future(self.run_one(*one)) for one in each]

    def summary(self):
        counts = {}
        for _, outcome, _ in self.results:
            counts[outcome] = counts.get(outcome, 0) + 1
        return counts, sum(1 for _, _, is_lost in self.results if is_lost)


def run_case(main, folder):
    """Runs a case; its exit code is 1 if the rule was broken, 0 if it held and 2 if it could not run."""
    world = World()

    async def run():
        try:
            return await main(world)
        except Exception as error:
            world.record.add("could not run: %r" % error)
            print("could not run: %r" % error)
            return 2
        finally:
            world.end()
            world.record.write(os.path.join(folder, "record.txt"))

    status = asyncio.run(run())
    sys.stdout.flush()
    # Without the interpreter's clean-up, which reports the streams that are still open.
    os._exit(status)
