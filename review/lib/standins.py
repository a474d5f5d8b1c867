"""Stand-ins for the platform of a gateway: clients, backends, discovery, the counter, and the platform that starts it.

They speak the protocols of the users' pages (RESP2, HTTP/1.1) on loopback addresses only, in one asyncio loop. Every event is written
to `record.txt` with the time since the start of the run.
"""

import asyncio
import json
import logging
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"


children = []  # processes of a case beside its gateways; they are killed with it


class Cannot(Exception):
    """The case cannot run."""


class Record:
    """The record of a run: one line an event."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, who, text):
        self.file.write(f"{self.now():9.3f} {who:<10} {text}\n")
        self.file.flush()


# ---------------------------------------------------------------- RESP2


def encode(words):
    out = [b"*%d\r\n" % len(words)]
    for word in words:
        out.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(out)


async def read_frame(reader):
    """Reads one RESP2 frame. Errors are returned as (b'-', text), simple strings as (b'+', text)."""
    line = await reader.readuntil(b"\r\n")
    kind, rest = line[:1], line[1:-2]
    if kind == b"*":
        count = int(rest)
        return None if count < 0 else [await read_frame(reader) for _ in range(count)]
    if kind == b"$":
        length = int(rest)
        if length < 0:
            return None
        return (await reader.readexactly(length + 2))[:-2]
    if kind in (b"-", b"+", b":"):
        return (kind, rest)
    raise ValueError(f"no frame: {line!r}")


def fields_of(command):
    return dict(pair.split("=", 1) for pair in command[3].decode().split(","))


# ---------------------------------------------------------------- the parties


class Party:
    """A listening stand-in; its connections are closed with it."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.server = None
        self.address = None
        self.connections = set()

    async def start(self, **options):
        return await self.start_at(0, **options)

    async def start_at(self, port, **options):
        async def run(reader, writer):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(writer)
            try:
                await self.serve(reader, writer)
            except (asyncio.CancelledError, asyncio.IncompleteReadError, ConnectionError, ValueError, OSError):
                pass  # the peer has gone, or the run is over
            finally:
                self.connections.discard(writer)
                writer.close()

        self.server = await asyncio.start_server(run, HOST, port, limit=1 << 20, **options)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def stop(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


class Backend(Party):
    """A backend. `answer(command)` is a coroutine that returns the value, or None to hang."""

    def __init__(self, record, name, zone, group, answer, quiet=False):
        super().__init__(record, name)
        self.zone, self.group, self.answer, self.quiet = zone, group, answer, quiet
        self.begun = []  # (time, id)

    def entry(self, status="ready", since_ms=0):
        return {"name": self.name, "address": self.address, "zone": self.zone, "type": "small-2core", "group": self.group,
                "status": status, "weight": 1.0, "since_ms": since_ms}

    async def serve(self, reader, writer):
        while True:
            command = await read_frame(reader)
            word = command[0].upper()
            if word == b"PING":
                writer.write(b"+PONG\r\n")
                continue
            if word not in (b"API.READ", b"API.WRITE"):
                writer.write(b"+OK\r\n" if word in (b"CLIENT", b"SELECT") else b"-ERR\r\n")
                continue
            self.begun.append((self.record.now(), command[2].decode()))
            if not self.quiet:
                self.record.line(self.name, f"begins {command[0].decode()} {command[2].decode()} {command[3].decode()}")
            value = await self.answer(command)
            if value is None:
                await asyncio.sleep(3600)
            if isinstance(value, tuple):
                writer.write(value[0])
            else:
                writer.write(b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value))
            await writer.drain()


class Counter(Party):
    """The counter: ADDGET in order."""

    def __init__(self, record):
        super().__init__(record, "counter")
        self.totals = {}

    async def serve(self, reader, writer):
        while True:
            command = await read_frame(reader)
            if command[0].upper() == b"ADDGET":
                name, amount, life = command[1], float(command[2]), min(int(command[3]), 60000) / 1000
                total, end = self.totals.get(name, (0.0, 0.0))
                if time.monotonic() >= end:
                    total, end = 0.0, time.monotonic() + life
                total += amount
                self.totals[name] = (total, end)
                text = b"%.7g" % total
                writer.write(b"$%d\r\n%s\r\n" % (len(text), text))
            else:
                writer.write(b"+PONG\r\n" if command[0].upper() == b"PING" else b"+OK\r\n")


class Discovery(Party):
    """The agent: whole lists and watches. `delay` holds every answer back by so many seconds."""

    def __init__(self, record, quiet=False):
        super().__init__(record, "discovery")
        self.quiet = quiet
        self.index, self.entries, self.changes = 1, {}, []
        self.news = asyncio.Event()
        self.delay = 0.0

    def put(self, entry):
        """Sets an entry; the agent holds the change from now on."""
        self.index += 1
        if entry["status"] == "gone":
            self.entries.pop(entry["name"], None)
        else:
            self.entries[entry["name"]] = entry
        self.changes.append((self.index, entry))
        self.record.line("discovery", f"holds version {self.index}: {entry['name']} {entry['status']}")
        self.news.set()
        self.news = asyncio.Event()

    def whole(self):
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def serve(self, reader, writer):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ")[1]
            query = dict(pair.split("=", 1) for pair in target.partition("?")[2].split("&") if pair)
            if not self.quiet:
                self.record.line("discovery", f"call {target}")
            if "since" in query:
                since, until = int(query["since"]), time.monotonic() + min(int(query.get("timeout_ms", 0)), 60000) / 1000
                while self.index <= since and time.monotonic() < until:
                    try:
                        await asyncio.wait_for(self.news.wait(), max(until - time.monotonic(), 0.001))
                    except asyncio.TimeoutError:
                        pass
                latest = {entry["name"]: entry for index, entry in self.changes if index > since}
                answer = {"index": self.index, "snapshot": False, "endpoints": list(latest.values())}
            else:
                answer = self.whole()
            if self.delay:
                await asyncio.sleep(self.delay)
            body = json.dumps(answer).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            await writer.drain()
            if not self.quiet:
                self.record.line("discovery", f"answered with version {answer['index']}")


class Client:
    """A client on one connection, with its commands answered in order."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.reader = self.writer = None

    async def connect(self, address):
        host, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self

    def send(self, command):
        self.writer.write(command)

    async def answer(self, timeout):
        return await asyncio.wait_for(read_frame(self.reader), timeout)

    def close(self):
        if self.writer:
            self.writer.close()


class Gateway:
    """One gateway, started by the deploy file's `run` as the platform does it."""

    def __init__(self, record, name, config):
        self.record, self.name, self.config = record, name, config
        self.process = None
        self.folder = tempfile.TemporaryDirectory(prefix="chalkdeck-review-")
        self.file = pathlib.Path(self.folder.name) / "config.json"

    def write_config(self):
        partial = self.file.with_suffix(".new")
        partial.write_text(json.dumps(self.config))
        partial.replace(self.file)

    async def start(self):
        self.write_config()
        run = re.search(r'^run = "([^"]*)"', (ROOT / "deploy" / "balancer.toml").read_text(), re.MULTILINE)
        if not run:
            raise Cannot("the deploy file has no line that begins with run")
        environment = dict(os.environ, ROUTER_NAME=self.name, ROUTER_LISTEN=self.config["listen"],
                           ROUTER_DISCOVERY=self.config["discovery"], ROUTER_CONFIG=str(self.file),
                           TMPDIR=self.folder.name)
        log = open(pathlib.Path(self.folder.name) / "log.txt", "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", run[1]], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log)
        for _ in range(300):
            if self.process.poll() is not None:
                raise Cannot(f"the gateway ended with {self.process.returncode}: {self.log()}")
            try:
                client = await Client(self.record, "front").connect(self.config["listen"])
                client.send(encode([b"PING"]))
                if await client.answer(1) == (b"+", b"PONG"):
                    client.close()
                    self.record.line(self.name, f"ready, process {self.process.pid}")
                    return self
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise Cannot("the gateway was not ready within 30 s")

    def signal(self, number):
        self.record.line("platform", f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def memory(self):
        """Anonymous resident memory in bytes: neither the program's file nor shared pages."""
        try:
            for line in open(f"/proc/{self.process.pid}/status", encoding="ascii"):
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    def log(self):
        return (pathlib.Path(self.folder.name) / "log.txt").read_text(errors="replace")[-4000:]

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        for line in self.log().splitlines()[-20:] if self.process else []:
            self.record.line(self.name, "log: " + line)
        self.folder.cleanup()


def free_address():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return "%s:%d" % probe.getsockname()


def settings(site, gateways=1, number=0, **changes):
    """The settings of a small deployment, under the names of the wire, times in microseconds. `changes` are paths with dots."""
    base = {
        "limuru-campus": {
            "classes": [
                {"name": "shamba-view", "effect": "pure", "deadline": 3000000, "on_time": 750000, "credit": 2.0,
                 "key_scope": "all", "late_share": 0.0, "streaming": False, "window": 5000000},
                {"name": "market-prices", "effect": "pure", "deadline": 3000000, "on_time": 800000, "credit": 1.0,
                 "key_scope": "all", "late_share": 0.0, "streaming": False, "window": 5000000},
                {"name": "harvest-sale", "effect": "token", "key_scope": "cell", "deadline": 3000000, "on_time": 750000,
                 "credit": 2.0, "late_share": 0.2, "streaming": False, "window": 3000000}],
            "plans": [
                {"name": "mbegu", "per_second": 3.5, "peak_units": 21.0, "price": 1.2, "open": 0, "ceiling_rate": 0.0,
                 "cap_depth": 0.0, "tolerance": 0.0, "excess_cost": 1.0, "extra_worth": 0.0},
                {"name": "mavuno", "per_second": 17.0, "peak_units": 27.0, "price": 1.6, "open": 0, "ceiling_rate": 0.0,
                 "cap_depth": 0.0, "tolerance": 0.0, "excess_cost": 0.8, "extra_worth": 0.0}],
            "rules": {"answer_slack": 50000, "cold": 18000000, "cold_from": 0.18, "fall_multiple": 2.0,
                      "must_ask_in": 10000000, "stop_sending_within": 2000000, "tip_after": 1000000},
            "bounds": {"conn_idle": 30000000, "dial_timeout": 250000, "max_attempts": 6, "max_open": 20000,
                       "max_retry_after": 2000000, "max_streams": 32, "may_cancel": True, "peer_messages": True,
                       "probing": True, "retry_after": True, "second_copies": True},
            "specifics": {"counter": True, "count_fee": 0.005, "count_limit": 80000, "peer_in_per_s": 100.0, "units_top": 4},
            "report": {"via": "none"}},
        "ruiru-campus": {
            "classes": [
                {"name": "load-save", "effect": "pure", "deadline": 4000000, "on_time": 1000000, "credit": 1.0,
                 "key_scope": "all", "late_share": 0.0, "streaming": False, "window": 8000000},
                {"name": "record-purchase", "effect": "token", "key_scope": "all", "deadline": 8000000, "on_time": 2500000,
                 "credit": 3.0, "late_share": 0.0, "streaming": False, "window": 8000000}],
            "plans": [
                {"name": "starter", "per_second": 1.3, "peak_units": 6.0, "price": 0.72, "open": 0, "ceiling_rate": 0.0,
                 "cap_depth": 0.0, "tolerance": 0.0, "excess_cost": 1.0, "extra_worth": 0.0},
                {"name": "studio", "per_second": 4.2, "peak_units": 18.0, "price": 1.2, "open": 0, "ceiling_rate": 0.0,
                 "cap_depth": 0.0, "tolerance": 0.0, "excess_cost": 1.2, "extra_worth": 0.0},
                {"name": "publisher", "per_second": 17.0, "peak_units": 34.0, "price": 1.8, "open": 0, "ceiling_rate": 37.0,
                 "cap_depth": 75.0, "tolerance": 7.5, "excess_cost": 0.6, "extra_worth": 0.0}],
            "rules": {"answer_slack": 50000, "cold": 14000000, "cold_from": 0.17, "fall_multiple": 4.0,
                      "must_ask_in": 10000000, "stop_sending_within": 1000000, "tip_after": 2000000},
            "bounds": {"conn_idle": 30000000, "dial_timeout": 250000, "max_attempts": 3, "max_open": 20000,
                       "max_retry_after": 2000000, "max_streams": 32, "may_cancel": True, "peer_messages": True,
                       "probing": False, "retry_after": True, "second_copies": False},
            "specifics": {"counter": True, "count_fee": 0.005, "count_limit": 80000, "peer_in_per_s": 60.0, "units_top": 4},
            "report": {"via": "none"}},
        "thika-hosting": {
            "classes": [
                {"name": "shamba-load", "effect": "pure", "deadline": 1500000, "on_time": 600000, "credit": 3.0,
                 "key_scope": "all", "late_share": 0.1, "streaming": False, "window": 5000000},
                {"name": "price-read", "effect": "pure", "deadline": 1200000, "on_time": 400000, "credit": 1.0,
                 "key_scope": "all", "late_share": 0.1, "streaming": False, "window": 5000000},
                {"name": "trade-post", "effect": "token", "key_scope": "cell", "deadline": 1200000, "on_time": 400000,
                 "credit": 2.0, "late_share": 0.1, "streaming": False, "window": 1200000}],
            "plans": [
                {"name": "starter", "per_second": 2.2, "peak_units": 10.0, "price": 0.72, "open": 0, "ceiling_rate": 0.0,
                 "cap_depth": 0.0, "tolerance": 0.0, "excess_cost": 1.2, "extra_worth": 0.0},
                {"name": "publisher", "per_second": 45.0, "peak_units": 85.0, "price": 1.6, "open": 0, "ceiling_rate": 95.0,
                 "cap_depth": 180.0, "tolerance": 18.0, "excess_cost": 0.0, "extra_worth": 0.2}],
            "rules": {"answer_slack": 50000, "cold": 16000000, "cold_from": 0.21, "fall_multiple": 2.0,
                      "must_ask_in": 10000000, "stop_sending_within": 250000, "tip_after": 1000000},
            "bounds": {"conn_idle": 30000000, "dial_timeout": 250000, "max_attempts": 5, "max_open": 20000,
                       "max_retry_after": 2000000, "max_streams": 32, "may_cancel": True, "peer_messages": True,
                       "probing": True, "retry_after": True, "second_copies": False},
            "specifics": {"counter": True, "count_fee": 0.02, "count_limit": 30000, "peer_in_per_s": 40.0, "units_top": 4},
            "report": {"via": "none"}},
    }[site]
    base = json.loads(json.dumps(base))
    base.update({"family": "gate", "balancers": gateways, "my_number": number, "layer": 0, "tick": 2000, "kinds": ["small-2core"],
                 "zone": "north-hall", "zones": ["north-hall", "middle-hall", "south-hall"], "weights": "nominal",
                 "membership_mode": "automatic", "clients": {"marks_retry": True}})
    for path, value in changes.items():
        place = base
        *parents, last = path.split("__")
        for parent in parents:
            place = place[int(parent)] if parent.isdigit() else place[parent]
        place[last] = value
    return base


def config(name, discovery, counter, known, site_settings, memory_mb=192, sockets=1024):
    return {"name": name, "listen": free_address(), "discovery": discovery, "counter": counter, "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}, "peers": [], "known": known,
            "settings": site_settings}


def main(folder, play):
    """Runs `play(record, trouble)`, which returns (ok, text): exit 0 if the rule held, 1 if it was broken, 2 if the case cannot run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.line("case", f"trouble {'on' if trouble else 'off'}")
    gateways = []

    def end_all():
        for child in children:
            if child.poll() is None:
                child.kill()
            child.wait()
        for gateway in gateways:
            gateway.end()

    def interrupted(number, _frame):
        end_all()
        record.line("case", f"interrupted by {signal.Signals(number).name}; exit 2")
        os._exit(2)

    logging.disable(logging.WARNING)  # asyncio tells of writes to peers that have gone
    signal.signal(signal.SIGTERM, interrupted)
    signal.signal(signal.SIGINT, interrupted)
    signal.signal(signal.SIGHUP, interrupted)
    # The loop is left open: the process ends here, and with it every stand-in.
    loop = asyncio.new_event_loop()
    try:
        ok, text = loop.run_until_complete(asyncio.wait_for(play(record, trouble, gateways), 112))
        code = 0 if ok else 1
    except (Cannot, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        text, code = f"the case could not run: {error!r}", 2
    except BaseException:
        traceback.print_exc()
        text, code = "the case could not run: a fault of the test", 2
    end_all()
    record.line("case", f"{text}; exit {code}")
    print(text, flush=True)
    sys.stderr.flush()
    os._exit(code)
