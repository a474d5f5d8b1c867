"""Bad clients fill the gateway's client connections. It closes usual clients' connections to make room, with their answers unsent."""

import asyncio
import pathlib
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import standins as s  # noqa: E402

SITE = "limuru-campus"
MEMORY_MB, SOCKETS = 48, 256  # what the platform grants
BAD_CLIENTS = 160
CLIENTS = 12
LENGTH = 20.0  # seconds with the disruption


async def play(record, trouble, gateways):
    begun = {}

    async def answer(command):
        begun[command[2].decode()] = record.now()
        await asyncio.sleep(0.02)
        return b"value of " + command[2]

    backends = [await s.Backend(record, f"s-{i}", "north-hall", i // 3, answer).start() for i in range(9)]
    counter = await s.Counter(record).start()
    discovery = await s.Discovery(record, quiet=True).start()
    for backend in backends:
        discovery.put(backend.entry())
    config = s.config("n0", discovery.address, counter.address, discovery.whole(), s.settings(SITE), MEMORY_MB, SOCKETS)
    gateway = s.Gateway(record, "n0", config)
    gateways.append(gateway)
    await gateway.start()
    counts = {"served": 0, "refused": 0, "failed": 0, "shut unread": 0}
    lost, foreign = [], []
    bad = []
    if trouble:
        record.line("clients", f"{BAD_CLIENTS} bad clients begin")
        for _ in range(2):
            bad.append(subprocess.Popen([sys.executable, "-B", str(pathlib.Path(__file__).with_name("bad_clients.py")), config["listen"],
                                         str(BAD_CLIENTS // 2), str(LENGTH)], stdout=subprocess.PIPE, text=True))
            s.children.append(bad[-1])
    stop = record.now() + LENGTH

    async def client(number):
        """Every other client opens a connection for each request; the others keep theirs, and send again what crossed its end."""
        connection = None
        for i in range(100000):
            if record.now() > stop:
                break
            name = f"{number:08x}{i:08x}"
            command = s.encode([b"API.READ", b"%016x" % (number * 100000 + i), name.encode(),
                                b"c=shamba-view,t=mavuno,d=3000,units=1,spread=1,first=0"])
            try:
                if connection is None:
                    connection = await asyncio.wait_for(s.Client(record, f"c{number}").connect(config["listen"]), 4)
                record.line(f"c{number}", f"sends {name}")
                connection.send(command)
                frame = await connection.answer(4)
                kind = "served" if isinstance(frame, bytes) else "refused" if frame[1].startswith(b"BUSY") else "failed"
                if kind == "served" and frame != b"value of " + name.encode():
                    foreign.append(name)
                record.line(f"c{number}", f"{name} {kind}")
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                connection = None
                if name in begun:
                    kind = None
                    lost.append(name)
                    record.line(f"c{number}", f"{name} LOST: a backend began it at {begun[name]:.3f} s, no answer came: {type(error).__name__}")
                else:
                    kind = "shut unread"
                    record.line(f"c{number}", f"{name} not begun by any backend, no answer came: {type(error).__name__}")
            if kind:
                counts[kind] += 1
            if number % 2 and connection:
                connection.close()
                connection = None
            await asyncio.sleep(0.1)

    await asyncio.gather(*(client(i) for i in range(CLIENTS)))
    for process in bad:
        try:
            record.line("clients", process.communicate(timeout=5)[0].strip())
        except subprocess.TimeoutExpired:
            process.kill()
    if not trouble and counts["served"] < 100:
        raise s.Cannot(f"hardly anything was served: {counts}")
    text = f"{len(lost)} requests were sent on to a backend and their connection closed with no answer; {len(foreign)} foreign values; others {counts}"
    return not lost and not foreign, text


s.main(pathlib.Path(__file__).parent, play)
