"""Bad clients: some send a value of 60 MB, others what can't be read. Each reads what it is sent and comes again once it is turned away.

usage: bad_clients.py ADDRESS COUNT SECONDS
"""

import selectors
import socket
import sys
import time

CHUNK = b"x" * 65536
TOTAL = 60_000_000
HEADS = [b"*5\r\n$9\r\nAPI.WRITE\r\n$60000000\r\n", b"\x00\xff what is this?\r\n"]


class BadClient:
    def __init__(self, selector, address, number):
        self.selector, self.address, self.number = selector, address, number
        self.turns = 0
        self.connect()

    def connect(self):
        self.sent = 0
        self.turns += 1
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(self.address)
        self.selector.register(self.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, self)

    def again(self):
        self.selector.unregister(self.socket)
        self.socket.close()
        self.connect()

    def on_ready(self, events):
        try:
            if events & selectors.EVENT_READ and not self.socket.recv(65536):
                return self.again()
            if events & selectors.EVENT_WRITE:
                head = HEADS[self.number % len(HEADS)]
                self.sent += self.socket.send(CHUNK if self.sent else head)
                if self.sent >= TOTAL:
                    return self.again()
        except BlockingIOError:
            pass
        except OSError:
            return self.again()


def main():
    host, port = sys.argv[1].split(":")
    count, end = int(sys.argv[2]), time.monotonic() + float(sys.argv[3])
    selector = selectors.DefaultSelector()
    clients = [BadClient(selector, (host, int(port)), i) for i in range(count)]
    while time.monotonic() < end:
        for key, events in selector.select(0.05):
            key.data.on_ready(events)
    print(f"{count} bad clients made {sum(client.turns for client in clients)} connections")


main()
