"""Bad clients of DAYS.md. Half of them send a value of 60 MB at full speed, the others a line that can't be read; all read whatever they
are sent, and come again as soon as they are turned away.

Arguments: host, port, number of clients, seconds.
"""

import select
import socket
import sys
import time

HEAD = b"*1\r\n$62914560\r\n"
NOISE = b"\x07\x00what is this?\r\n"
CHUNK = b"x" * 65536


class BadClient:
    def __init__(self, address, is_big):
        self.is_big = is_big
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(address)
        self.head, self.left = (HEAD, 60 << 20) if is_big else (NOISE, 0)

    def write(self):
        if self.head:
            self.head = self.head[self.socket.send(self.head):]
        else:
            self.left -= self.socket.send(CHUNK[: self.left])


def main(host, port, count, seconds):
    address = (host, int(port))
    clients = [BadClient(address, index % 2 == 0) for index in range(int(count))]
    until = time.monotonic() + float(seconds)
    errors = ends = 0
    while time.monotonic() < until:
        by_socket = {client.socket: client for client in clients}
        readable, writable, _ = select.select(list(by_socket), [s for s, c in by_socket.items() if c.head or c.left], [], 0.05)
        gone = set()
        for sock in writable:
            try:
                by_socket[sock].write()
            except BlockingIOError:
                pass
            except OSError:
                gone.add(sock)
        for sock in readable:
            try:
                if sock.recv(65536):
                    errors += 1
                elif not by_socket[sock].left:
                    gone.add(sock)
            except BlockingIOError:
                pass
            except OSError:
                gone.add(sock)
        for sock in gone:
            sock.close()
            ends += 1
            client = by_socket[sock]
            clients[clients.index(client)] = BadClient(address, client.is_big)
    print(f"{errors} errors read, {ends} times turned away")


main(*sys.argv[1:])
