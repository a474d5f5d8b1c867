"""Case 8: a few clients send hundreds of long commands at once. The requests of the other clients of the gateway are watched."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "kit-2"))
from standin import Gateway, Parser, UsualClients, command, customer_id, request_id, run_case, usual_backends

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS, TROUBLE_FROM, TROUBLE_FOR = 40.0, 5.0, 30.0
MEMORY_MB, SOCKETS = 32, 256
PROCESSES = 3
BAD_CLIENTS = 4  # for each of the processes that play them
COMMANDS_AT_ONCE = 200
BODY = b"x" * 60000  # a value holds 64 KiB at most
CUSTOMERS = [customer_id() for _ in range(3000)]


async def bad_client(port, until):
    """Sends hundreds of commands at once, reads all that it is sent, and sends as many again as have been answered."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
    parser, waiting, sent = Parser(), 0, 0
    try:
        while time.monotonic() < until:
            for _ in range(COMMANDS_AT_ONCE - waiting):
                fields = "c=harvest-sale,t=mavuno,d=3000,k=%016x,units=1,spread=2,first=0" % random.getrandbits(62)
                writer.write(command("API.WRITE", random.choice(CUSTOMERS), request_id(), fields, BODY))
            sent += COMMANDS_AT_ONCE - waiting
            waiting = COMMANDS_AT_ONCE
            data = await asyncio.wait_for(reader.read(1 << 16), 10)
            if not data:
                break
            parser.feed(data)
            while parser.take() is not None:
                waiting -= 1
    except (ConnectionError, asyncio.TimeoutError):
        pass
    return sent


async def bad_clients(port, seconds):
    until = time.monotonic() + seconds
    sent = await asyncio.gather(*(bad_client(port, until) for _ in range(BAD_CLIENTS)))
    print("commands sent", sum(sent))


async def main(world):
    gateways = [Gateway(i, world, MEMORY_MB, SOCKETS) for i in range(3)]
    await world.start(usual_backends(world), gateways)
    until = time.monotonic() + SECONDS
    clients = UsualClients(world, connections=20, per_second=30.0, deadlines=(1500,), per_connection=3)
    tasks = clients.start(gateways, until)
    await asyncio.sleep(TROUBLE_FROM)
    if TROUBLE:
        world.record.add("%d bad clients begin at gateway 0" % (PROCESSES * BAD_CLIENTS))
        helpers = [
            await world.start_helper(
                os.path.abspath(__file__), "bad", str(gateways[0].port), str(TROUBLE_FOR)
            )
            for _ in range(PROCESSES)
        ]
    peak = 0
    while time.monotonic() < until:
        await asyncio.sleep(0.05)
        peak = max(peak, gateways[0].memory_kb())
    await asyncio.gather(*tasks)
    if TROUBLE:
        for helper in helpers:
            out, _ = await helper.communicate()
            world.record.add("bad clients: " + out.decode().strip())
    ended = [gateway.number for gateway in gateways if gateway.process.poll() is not None]
    counts, lost = clients.summary()
    text = "usual requests %s, lost %d; most memory of gateway 0 %d KB; ended: %s" % (counts, lost, peak, ended)
    world.record.add(text)
    print(text)
    if counts.get("served", 0) < 500:
        return 2
    return 1 if lost or ended else 0


if __name__ == "__main__":
    if len(sys.argv) > 1 and sys.argv[1] == "bad":
        asyncio.run(bad_clients(int(sys.argv[2]), float(sys.argv[3])))
    else:
        run_case(main, FOLDER)
