"""A crowd of HTTP clients that don't behave: each sends what its script says, keeps its connection open, and opens
another one when it is closed. One thread runs them all."""

import errno
import select
import socket
import threading
import time

# The most bytes that one client writes at a time, so that all of them get on.
WRITE_BYTES = 65536
PATIENCE_S = 60.0


class Script:
    """What a client sends: a beginning, then a filler again and again up to a number of bytes in total; in pieces of a
    size. A client that doesn't read leaves each reply where it is."""

    def __init__(self, beginning, filler=b"", total=0, piece=WRITE_BYTES, reads=True):
        # Repeated, so that a piece is a slice or two.
        self.beginning, self.filler = beginning, filler * (1 + WRITE_BYTES // max(1, len(filler)))
        self.total = max(total, len(beginning))
        self.piece, self.reads = piece, reads

    def next_bytes(self, sent):
        """The next bytes after those that were sent; empty at the end."""
        most = min(self.piece, self.total - sent)
        if sent < len(self.beginning):
            return self.beginning[sent:sent + most]
        if most <= 0 or not self.filler:
            return b""
        start = (sent - len(self.beginning)) % len(self.filler)
        found = self.filler[start:start + most]
        while len(found) < most:
            found += self.filler[:most - len(found)]
        return found


class Client:
    def __init__(self, address, script):
        self.address, self.script = address, script
        self.socket, self.sent, self.closed_times = None, 0, 0

    def open(self):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        if not self.script.reads:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sent = 0
        try:
            self.socket.connect(self.address)
        except BlockingIOError:
            pass

    def is_done(self):
        return self.sent >= self.script.total

    def close(self):
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def write(self):
        """Returns whether the connection is still open."""
        failed = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failed not in (0, errno.EINPROGRESS):
            return False
        try:
            while not self.is_done():
                self.sent += self.socket.send(self.script.next_bytes(self.sent))
                if self.script.piece < WRITE_BYTES:
                    break
        except BlockingIOError:
            pass
        except OSError:
            return False
        return True

    def read(self):
        try:
            return bool(self.socket.recv(WRITE_BYTES))
        except BlockingIOError:
            return True
        except OSError:
            return False


class Crowd:
    """Clients with the scripts, in turn. Each that is closed comes back, up to a number of times; with 0 it stays away."""

    def __init__(self, address, size, scripts, returns=3):
        host, port = address.split(":")
        self.clients = [Client((host, int(port)), scripts[i % len(scripts)]) for i in range(size)]
        self.returns = returns
        self.stopping = False
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopping = True
        self.thread.join()
        for client in self.clients:
            client.close()

    def is_settled(self):
        """Whether each client has sent all that it will, or has been closed for the last time."""
        return all(client.is_done() if client.socket else client.closed_times > self.returns
                   for client in self.clients)

    def await_settled(self):
        until = time.monotonic() + PATIENCE_S
        while not self.is_settled() and time.monotonic() < until:
            time.sleep(0.05)

    @staticmethod
    def wanted_events(client):
        """A client that doesn't read only notices that its connection is closed."""
        writes = 0 if client.is_done() else select.EPOLLOUT
        reads = select.EPOLLIN if client.script.reads else 0
        return writes | reads | select.EPOLLRDHUP

    def run(self):
        with select.epoll() as poll:
            self.poll, self.registered, self.open_clients = poll, {}, {}
            for client in self.clients:
                self.open(client)
            while not self.stopping:
                for descriptor, events in poll.poll(0.05):
                    self.on_events(self.open_clients[descriptor], events)

    def open(self, client):
        client.open()
        self.open_clients[client.socket.fileno()] = client
        self.register(client)

    def register(self, client):
        descriptor, wanted = client.socket.fileno(), self.wanted_events(client)
        if descriptor not in self.registered:
            self.poll.register(descriptor, wanted)
        elif self.registered[descriptor] != wanted:
            self.poll.modify(descriptor, wanted)
        self.registered[descriptor] = wanted

    def on_events(self, client, events):
        is_open = not events & (select.EPOLLERR | select.EPOLLHUP)
        if is_open and events & select.EPOLLIN:
            is_open = client.read()
        elif events & select.EPOLLRDHUP:
            is_open = False
        if is_open and events & select.EPOLLOUT:
            is_open = client.write()
        if is_open:
            self.register(client)
            return
        descriptor = client.socket.fileno()
        self.poll.unregister(descriptor)
        del self.registered[descriptor], self.open_clients[descriptor]
        client.close()
        client.closed_times += 1
        if client.closed_times <= self.returns:
            self.open(client)
