"""Bad clients fill the gateway's descriptors: an answer that is ready must still reach its client."""

import asyncio
import pathlib
import random
import subprocess
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import network
import standins

SOCKETS = 256  # DAYS.md: 256 to 1,024 descriptors
RATE = 60.0  # requests a second of the usual clients
CUSTOMERS = 60
BAD_CLIENTS, BAD_PROCESSES = 160, 4
BAD_FROM, BAD_FOR = 4.0, 20.0
END = 27.0
DEADLINE = 3.0


async def play(record, trouble, gateways):
    begun = {}

    async def answer(command):
        begun[command[2].decode()] = record.now()
        await asyncio.sleep(random.uniform(0.06, 0.12))
        return b"made for " + command[2]

    discovery = await standins.Discovery(record, quiet=True).start()
    counter = await standins.Counter(record).start()
    for index in range(9):
        zone = ["north-hall", "middle-hall", "south-hall"][index % 3]
        backend = await standins.Backend(record, f"s-{index}", zone, index // 3, answer).start()
        discovery.put(backend.entry())
    settings = standins.settings("limuru-campus", 3, 0)
    config = standins.config("n0", discovery.address, counter.address, discovery.whole(), settings, memory_mb=64, sockets=SOCKETS)
    gateway = await standins.Gateway(record, "n0", config).start()
    gateways.append(gateway)
    lost, crossed, answered, unanswered = [], 0, 0, 0
    pool = []

    async def one():
        """One request of a usual client. Where the close of a resting connection crosses it, it is sent once more on a new one."""
        nonlocal crossed, answered, unanswered
        number = network.new_id()
        command = network.request("API.READ", random.randrange(CUSTOMERS), number, c="market-prices", t="mavuno", d=int(DEADLINE * 1000),
                                  units=1, spread=1, first=0)
        for attempt in range(2):
            client = pool.pop() if pool and attempt == 0 else None
            is_new = client is None
            try:
                if client is None:
                    client = await standins.Client(record, "client").connect(config["listen"])
            except OSError:
                unanswered += 1
                return
            sent = record.now()
            record.line("client", f"sends {number} on {'a new' if is_new else 'a resting'} connection")
            client.send(command)
            try:
                frame = await client.answer(DEADLINE + 3)
                record.line("client", f"{number} is answered {network.short(frame)} after {record.now() - sent:.3f} s")
                answered += 1
                pool.append(client)
                return
            except (asyncio.IncompleteReadError, ConnectionError):
                client.close()
                at = record.now()
                if number in begun:
                    lost.append(number)
                    record.line("check", f"{number} was begun by a backend at {begun[number]:.3f}; its connection ended at {at:.3f} without "
                                         f"an answer, {at - sent:.3f} s after it was sent")
                    return
                record.line("client", f"{number}: the connection ended {at - sent:.3f} s after it was sent, and no backend has it")
                crossed += 1
                if is_new:
                    return
            except asyncio.TimeoutError:
                client.close()
                unanswered += 1
                record.line("client", f"{number} has no answer")
                return

    start = record.now()
    calls, bad = [], []
    while record.now() < start + END:
        if trouble and not bad and record.now() >= start + BAD_FROM:
            record.line("clients", f"{BAD_CLIENTS} bad clients come")
            host, port = config["listen"].split(":")
            for _ in range(BAD_PROCESSES):
                bad.append(subprocess.Popen([sys.executable, "-B", str(HERE / "bad_clients.py"), host, port, str(BAD_CLIENTS // BAD_PROCESSES),
                                             str(BAD_FOR)], stdout=subprocess.PIPE, text=True))
            standins.children.extend(bad)
        calls.append(asyncio.ensure_future(one()))
        await asyncio.sleep(random.expovariate(RATE))
    await asyncio.gather(*calls)
    for process in bad:
        record.line("clients", f"bad clients: {process.stdout.read().strip()}")
    if gateway.process.poll() is not None:
        return False, f"the gateway ended with {gateway.process.returncode}"
    return not lost, (f"{len(calls)} requests: {answered} answered, {crossed} crossed a close unread, {unanswered} without an answer on an "
                      f"open connection, {len(lost)} begun by a backend and then closed on without an answer")


standins.main(HERE, play)
