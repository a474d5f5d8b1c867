"""A link between gateways and one backend, and a steady load of clients."""

import asyncio
import os
import random
import socket
import time

import standins
from standins import HOST, encode


class Link:
    """Forwards the connections to one party. While it is cut, bytes of both directions wait in it, as they do in the senders of a
    network that is cut; `heal` delivers them in order. A connection that is opened during a cut is reset when it heals, and none of
    its bytes gets through."""

    def __init__(self, record, name, target, delay=0.0005):
        self.record, self.name, self.target, self.delay = record, name, target, delay
        self.open = asyncio.Event()
        self.open.set()
        self.address = None
        self.reset_next = 0
        self.pairs = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    def cut(self):
        self.record.line("network", f"{self.name} is cut off")
        self.open.clear()

    def heal(self):
        self.record.line("network", f"{self.name} is back")
        self.open.set()

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await asyncio.sleep(self.delay)
                await self.open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self.open.is_set():
            await self.open.wait()
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        except OSError:
            writer.transport.abort()
            return
        far_writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (writer, far_writer)
        self.pairs.add(pair)
        try:
            await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))
        finally:
            self.pairs.discard(pair)


class Answer:
    """What a client saw of one request."""

    def __init__(self, number, kind, sent_at):
        self.id, self.kind, self.sent_at = number, kind, sent_at
        self.frame, self.at = None, None


class Front:
    """Clients behind a front: connections that are kept and used for one request at a time."""

    def __init__(self, record, quiet=True):
        self.record, self.quiet = record, quiet
        self.idle = {}
        self.answers = []

    async def ask(self, address, command, number, kind, wait):
        """Sends one request and waits for its answer for `wait` seconds; returns the Answer."""
        pool = self.idle.setdefault(address, [])
        for attempt in range(2):
            fresh = not pool
            client = pool.pop() if pool else None
            if client is None:
                try:
                    client = await standins.Client(self.record, "client").connect(address)
                except OSError:
                    return None
            answer = Answer(number, kind, self.record.now())
            client.send(command)
            if not self.quiet:
                self.record.line("client", f"sends {kind} {number}")
            try:
                answer.frame = await client.answer(wait)
                answer.at = self.record.now()
                pool.append(client)
            except asyncio.TimeoutError:
                client.close()
            except (asyncio.IncompleteReadError, ConnectionError):
                client.close()
                if not fresh and attempt == 0:
                    continue  # the close crossed the request
                answer.frame, answer.at = "closed", self.record.now()
            if not self.quiet:
                self.record.line("client", f"{number} is answered {short(answer.frame)} after {(answer.at or 0) - answer.sent_at:.3f} s")
            self.answers.append(answer)
            return answer


def short(frame):
    text = repr(frame)
    return text if len(text) < 100 else text[:100] + "..."


def new_id():
    return os.urandom(8).hex()


def request(verb, customer, number, body=None, **fields):
    text = ",".join(f"{name}={value}" for name, value in fields.items())
    words = [verb.encode(), b"%016x" % customer, number.encode(), text.encode()]
    if body is not None:
        words.append(body)
    return encode(words)
