"""Case 10: some clients send many long commands at once and leave. The attempts that begin after they have left are watched."""

import asyncio
import json
import os
import random
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "kit-2"))
from standin import Gateway, UsualClients, command, customer_id, request_id, run_case, usual_backends

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS, TROUBLE_FROM, TROUBLE_FOR = 22.0, 4.0, 15.0
MEMORY_MB, SOCKETS = 32, 256
LEAVERS, COMMANDS_AT_ONCE = 10, 60
BODY = b"x" * 60000  # a value holds 64 KiB at most
CUSTOMERS = [customer_id() for _ in range(2000)]
BOUND_S = 0.1 + 0.05  # an attempt begins at most 0.1 s after the close; every time limit is extended by 50 ms


def leaver(port, until, closed):
    """Sends its commands at once and closes its connection; without the disruption it stays until it has all its answers."""
    while time.monotonic() < until:
        requests, commands = [], []
        for _ in range(COMMANDS_AT_ONCE):
            requests.append(request_id())
            fields = "c=harvest-sale,t=mavuno,d=3000,k=%016x,units=1,spread=2,first=0" % random.getrandbits(62)
            commands.append(command("API.WRITE", random.choice(CUSTOMERS), requests[-1], fields, BODY))
        connection = socket.create_connection(("127.0.0.1", port))
        try:
            connection.sendall(b"".join(commands))
            answers = 0
            while not TROUBLE and answers < COMMANDS_AT_ONCE:
                data = connection.recv(1 << 16)
                if not data:
                    break
                # An error is one line, a value two.
                answers += data.count(b"\n") - data.count(b"$")
        except OSError:
            pass
        connection.close()
        now = time.monotonic()
        closed.extend((request, now) for request in requests)
        time.sleep(random.uniform(0.5, 1.0))


def leavers(port, seconds):
    until, closed = time.monotonic() + seconds, []
    threads = [threading.Thread(target=leaver, args=(port, until, closed)) for _ in range(LEAVERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps(closed))


async def main(world):
    gateways = [Gateway(i, world, MEMORY_MB, SOCKETS) for i in range(3)]
    lags = []  # how late this process itself was, as (time, seconds): it is taken off

    async def watch_lag():
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.005)
            now = time.monotonic()
            if now - before > 0.015:
                lags.append((now, now - before - 0.005))

    await world.start(usual_backends(world), gateways)
    watch = asyncio.ensure_future(watch_lag())
    until = time.monotonic() + SECONDS
    clients = UsualClients(world, connections=8, per_second=12.0)
    tasks = clients.start(gateways, until)
    await asyncio.sleep(TROUBLE_FROM)
    world.record.add("%d clients send %d commands at once to gateway 0%s" % (LEAVERS, COMMANDS_AT_ONCE, " and leave" if TROUBLE else ""))
    helper = await world.start_helper(
        os.path.abspath(__file__), "leave", str(gateways[0].port), str(TROUBLE_FOR)
    )
    out, _ = await helper.communicate()
    await asyncio.gather(*tasks)
    watch.cancel()
    closed = dict(json.loads(out))
    late, begun, arrived = [], world.record.begun, 0
    for request, arrivals in world.arrivals.items():
        for at, backend in arrivals if request in closed else []:
            arrived += 1
            lag = max((by for when, by in lags if at - 0.2 < when < at + 0.05), default=0.0)
            after = at - closed[request] - lag
            if after > BOUND_S:
                late.append(after)
                world.record.lines.append(
                    "%9.4f request %s at %s %.3f s after its client closed at %.4f LATE" % (at - begun, request, backend, after, closed[request] - begun)
                )
    ended = [gateway.number for gateway in gateways if gateway.process.poll() is not None]
    text = "usual requests %s; of %d commands %d attempts, %d begun too long after the close, latest %.3f s; ended: %s" % (
        clients.summary()[0], len(closed), arrived, len(late), max(late, default=0.0), ended,
    )
    world.record.add(text)
    print(text)
    if arrived < 100 or ended:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    if len(sys.argv) > 1 and sys.argv[1] == "leave":
        leavers(int(sys.argv[2]), float(sys.argv[3]))
    else:
        run_case(main, FOLDER)
