"""Case 9: discovery is slow, then down for some seconds; backends drain when it is back. What gateways send to them is watched."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "kit-2"))
from standin import Backend, Discovery, Gateway, HALLS, UsualClients, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SLOW_FROM, SLOW_FOR, SLOW_S = 3.0, 15.0, 4.5
DOWN_FOR = 6.0
AFTER = 8.0
LEAVING = 4
GRACE_S = 2.0  # rules.stop_sending_within of the settings
BOUND_S = GRACE_S + 0.05  # every time limit is extended by 50 ms


class DrainingBackend(Backend):
    """It completes what it holds and turns away what is new once it drains. It stays up."""

    told_at = None

    async def handle(self, words, state, writer):
        if words[0] in (b"API.READ", b"API.WRITE") and self.status == "draining":
            self.world.on_draining_arrival(self, words[2].decode())
            return b"-BUSY\r\n"
        return await super().handle(words, state, writer)


class SlowDiscovery(Discovery):
    """The agent of one gateway. Slow: each answer comes so much later. Down: it is silent, and a call that was open then is not answered
    any more (such a watch "is broken and has to be opened anew")."""

    delay_s, down_count = 0.0, 0

    async def answer(self, query):
        self.record.add("discovery called %s" % query)
        count = self.down_count
        delay = self.delay_s
        if self.is_silent:
            await asyncio.Event().wait()
        body = await super().answer(query)
        if delay:
            await asyncio.sleep(delay)
        if self.is_silent or self.down_count != count:
            await asyncio.Event().wait()
        return body


async def main(world):
    backends = [DrainingBackend(world, "s-%d" % i, zone=HALLS[i % 3], cell=i * 2 // 9) for i in range(9)]
    gateways = [Gateway(i, world, 64, 512) for i in range(3)]
    late = []

    def on_draining_arrival(backend, request):
        now = time.monotonic()
        after = None if backend.told_at is None else now - backend.told_at
        is_late = after is not None and after > BOUND_S
        late.extend([after] if is_late else [])
        since = "before it was told" if after is None else "%.3f s after it was told" % after
        world.record.add("request %s sent to draining %s %s%s" % (request, backend.name, since, " LATE" if is_late else ""))

    SlowDiscovery.record = world.record
    world.on_draining_arrival = on_draining_arrival
    await world.start(backends, gateways, SlowDiscovery)
    discovery = world.discovery
    begun = time.monotonic()
    total = SLOW_FROM + SLOW_FOR + DOWN_FOR + AFTER
    clients = UsualClients(world, connections=20, per_second=45.0)
    tasks = clients.start(gateways, begun + total)
    await asyncio.sleep(SLOW_FROM)
    if TROUBLE:
        world.record.add("discovery answers %.1f s late from now on" % SLOW_S)
        discovery.delay_s = SLOW_S
    await asyncio.sleep(SLOW_FOR)
    if TROUBLE:
        world.record.add("discovery is down")
        discovery.is_silent = True
        discovery.down_count += 1
    discovery.delay_s = 0.0
    await asyncio.sleep(DOWN_FOR)
    if TROUBLE:
        discovery.is_silent = False
        world.record.add("discovery is back; it answers at once")
    leaving = backends[:LEAVING]
    for backend in leaving:
        backend.status = "draining"
        backend.told_at = time.monotonic()
        discovery.tell(backend.entry())
    world.record.add("%s drain, and discovery has it" % [backend.name for backend in leaving])
    await asyncio.gather(*tasks)
    counts, lost = clients.summary()
    ended = [gateway.number for gateway in gateways if gateway.process.poll() is not None]
    latest = max(late, default=0.0)
    text = "usual requests %s; sent to draining backends too late: %d, latest %.3f s after it was told; ended: %s" % (
        counts, len(late), latest, ended,
    )
    world.record.add(text)
    print(text)
    if counts.get("served", 0) < 500:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    run_case(main, FOLDER)
