"""Case 6: a few bad clients send hundreds of commands at once, always for new customers. The memory of their gateway is watched."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "kit-2"))
from standin import Gateway, UsualClients, command, customer_id, request_id, run_case, usual_backends

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS, TROUBLE_FROM, TROUBLE_FOR = 40.0, 5.0, 30.0
MEMORY_MB, SOCKETS = int(os.environ.get("MB", "64")), 512  # scored days grant 32 to 192 MB and 256 to 1,024 descriptors
BAD_CLIENTS = 16
COMMANDS_AT_ONCE = 300


async def bad_client(port, until):
    """Sends hundreds of commands at once and reads all that it is sent; then the same again."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
    sent = waiting = 0
    try:
        while time.monotonic() < until:
            commands = []
            for _ in range(COMMANDS_AT_ONCE - waiting):
                fields = "c=market-prices,t=mbegu,d=3000,units=1,spread=2,first=0"
                commands.append(command("API.READ", customer_id(), request_id(), fields))
            writer.write(b"".join(commands))
            sent += len(commands)
            waiting = COMMANDS_AT_ONCE
            data = await asyncio.wait_for(reader.read(1 << 16), 10)
            if not data:
                break
            # An error is one line, a value two.
            waiting -= data.count(b"\n") - data.count(b"$")
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
    clients = UsualClients(world)
    tasks = clients.start(gateways, until)
    await asyncio.sleep(TROUBLE_FROM)
    if TROUBLE:
        world.record.add("%d bad clients begin at gateway 0" % BAD_CLIENTS)
        helper = await world.start_helper(
            os.path.abspath(__file__), "bad", str(gateways[0].port), str(TROUBLE_FOR)
        )
    killed, peak, noted = set(), 0, 0
    while time.monotonic() < until:
        await asyncio.sleep(0.05)
        for gateway in gateways:
            if gateway.number in killed or gateway.process.poll() is not None:
                continue
            memory = gateway.memory_kb()
            peak = max(peak, memory)
            if gateway.number == 0 and memory > noted * 1.2:
                noted = memory
                world.record.add("memory of gateway 0: %d KB" % memory)
            if memory > MEMORY_MB * 1024:
                # The platform kills a gateway that is over its memory.
                killed.add(gateway.number)
                world.record.add("gateway %d: %d KB, over %d MB: killed by the platform" % (gateway.number, memory, MEMORY_MB))
                gateway.process.kill()
    ended = [gateway.number for gateway in gateways if gateway.process.poll() is not None and gateway.number not in killed]
    await asyncio.gather(*tasks)
    if TROUBLE:
        out, _ = await helper.communicate()
        world.record.add("bad clients: " + out.decode().strip())
    counts, lost = clients.summary()
    text = "usual requests %s, lost %d; most memory %d KB; over the limit: %s; ended: %s" % (counts, lost, peak, sorted(killed), ended)
    world.record.add(text)
    print(text)
    if counts.get("served", 0) < 500:
        return 2
    return 1 if killed or ended else 0


if __name__ == "__main__":
    if len(sys.argv) > 1 and sys.argv[1] == "bad":
        asyncio.run(bad_clients(int(sys.argv[2]), float(sys.argv[3])))
    else:
        run_case(main, FOLDER)
