"""Case 7: some backends hang for a few seconds while clients pipeline requests with long answers. The gateways' memory is watched."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "kit-2"))
from standin import Backend, Gateway, HALLS, Parser, command, customer_id, request_id, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS, TROUBLE_FROM, TROUBLE_FOR = 22.0, 8.0, 4.0
MEMORY_MB, SOCKETS = 32, 256
CONNECTIONS, PER_SECOND = 12, 480.0  # to one gateway
HANGING, BACKENDS = 5, 12
LONG_SHARE, LONG = 0.6, 60000  # of the answers; a value holds 64 KiB at most
CUSTOMERS = [customer_id() for _ in range(1000)]


class LongBackend(Backend):
    def answer(self, request, words):
        value = ("value of %s" % request).encode()
        if random.random() < LONG_SHARE:
            value = value.ljust(LONG, b"y")
        return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)


async def pipeline(world, gateway, until, counts):
    """A connection of the front that carries the requests of many customers, one written behind another."""
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port, limit=1 << 22)

    async def read():
        parser = Parser()
        while data := await reader.read(1 << 18):
            parser.feed(data)
            while (message := parser.take()) is not None:
                kind = "served" if isinstance(message[0], tuple) else "turned away or failed"
                counts[kind] += 1

    reading = asyncio.ensure_future(read())
    try:
        while time.monotonic() < until and not reading.done():
            await asyncio.sleep(random.expovariate(PER_SECOND / CONNECTIONS))
            request = request_id()
            fields = "c=shamba-view,t=mavuno,d=3000,units=1,spread=2,first=0"
            writer.write(command("API.READ", random.choice(CUSTOMERS), request, fields))
            counts["sent"] += 1
    except ConnectionError:
        pass
    await asyncio.sleep(0.1)
    reading.cancel()
    writer.transport.abort()


async def main(world):
    backends = [LongBackend(world, "s-%d" % i, zone=HALLS[i % 3], cell=i // 6, work_ms=60.0, slots=32) for i in range(BACKENDS)]
    gateways = [Gateway(i, world, MEMORY_MB, SOCKETS) for i in range(3)]
    await world.start(backends, gateways)
    gateway, counts = gateways[0], {"sent": 0, "served": 0, "turned away or failed": 0}
    begun = time.monotonic()
    until = begun + SECONDS
    tasks = [asyncio.ensure_future(pipeline(world, gateway, until, counts)) for _ in range(CONNECTIONS)]
    killed, peak, noted, was_hanging = False, 0, 0, False
    while time.monotonic() < until:
        await asyncio.sleep(0.02)
        passed = time.monotonic() - begun
        is_hanging = TROUBLE and TROUBLE_FROM < passed < TROUBLE_FROM + TROUBLE_FOR
        if is_hanging != was_hanging:
            was_hanging = is_hanging
            world.record.add("%d of %d backends %s" % (HANGING, BACKENDS, "hang" if is_hanging else "work again"))
            for backend in backends[:HANGING]:
                backend.is_hanging = is_hanging
        memory = gateway.memory_kb()
        peak = max(peak, memory)
        if memory > noted * 1.1:
            noted = memory
            world.record.add("memory %d KB; requests %s" % (memory, counts))
        if memory > MEMORY_MB * 1024 and not killed:
            # The platform kills a gateway that is over its memory.
            killed = True
            world.record.add("%d KB, over %d MB: killed by the platform" % (memory, MEMORY_MB))
            gateway.process.kill()
            break
    ended = not killed and gateway.process.poll() is not None
    text = "requests %s; most memory %d KB%s%s" % (counts, peak, ", killed" if killed else "", ", ended" if ended else "")
    world.record.add(text)
    print(text)
    if counts["served"] < 1000:
        return 2
    return 1 if killed or ended else 0


if __name__ == "__main__":
    run_case(main, FOLDER)
