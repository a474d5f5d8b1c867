"""Case 10: hundreds of clients stop in the middle of a long request and stay. The memory of their gateway is watched."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "kit-2"))
from standin import Gateway, UsualClients, command, customer_id, request_id, run_case, usual_backends

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS, TROUBLE_FROM, TROUBLE_FOR = 25.0, 4.0, 15.0
MEMORY_MB, SOCKETS = 32, 1024
STOPPING = 560  # hundreds
BODY = b"x" * 65000  # a value holds 64 KiB at most
MISSING = 3  # bytes at the end of a command that never come


async def stopping_client(port, until):
    """Sends a long request but for its last bytes and waits until the gateway ends the connection; then it does the same again."""
    while time.monotonic() < until:
        fields = "c=harvest-sale,t=mavuno,d=3000,k=1234,units=1,spread=2,first=0"
        data = command("API.WRITE", customer_id(), request_id(), fields, BODY)
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data[:-MISSING])
            while await asyncio.wait_for(reader.read(1 << 16), max(until - time.monotonic(), 0.01)):
                pass
            writer.close()
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.05)


async def stopping_clients(port, seconds):
    until = time.monotonic() + seconds
    await asyncio.gather(*(stopping_client(port, until) for _ in range(STOPPING)))


async def main(world):
    gateways = [Gateway(i, world, MEMORY_MB, SOCKETS) for i in range(3)]
    await world.start(usual_backends(world), gateways)
    until = time.monotonic() + SECONDS
    clients = UsualClients(world)
    tasks = clients.start(gateways, until)
    await asyncio.sleep(TROUBLE_FROM)
    if TROUBLE:
        world.record.add("%d clients begin that stop %d bytes before the end of a request at gateway 0" % (STOPPING, MISSING))
        helper = await asyncio.create_subprocess_exec(
            sys.executable, os.path.abspath(__file__), "stop", str(gateways[0].port), str(TROUBLE_FOR), stderr=asyncio.subprocess.DEVNULL
        )
    killed, peak, noted = set(), 0, 0
    while time.monotonic() < until:
        await asyncio.sleep(0.02)
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
        await helper.wait()
    counts, lost = clients.summary()
    text = "usual requests %s, lost %d; most memory %d KB; over the limit: %s; ended: %s" % (counts, lost, peak, sorted(killed), ended)
    world.record.add(text)
    print(text)
    if counts.get("served", 0) < 300:
        return 2
    return 1 if killed or ended else 0


if __name__ == "__main__":
    if len(sys.argv) > 1 and sys.argv[1] == "stop":
        asyncio.run(stopping_clients(int(sys.argv[2]), float(sys.argv[3])))
    else:
        run_case(main, FOLDER)
