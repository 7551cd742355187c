"""A network path to a control VM that can be cut for one sender."""

import socket
import threading
import time

# The first retransmission timeout of TCP on a path of a few milliseconds; it doubles
# each time.
RETRANSMIT_SECONDS = 0.2
POLL_SECONDS = 0.005
HEAD_BYTES = 512


def split(address):
    """Returns host and port of an address."""
    host, port = address.split(":")
    return host, int(port)


class Flow:
    """What one connection carries to the control VM."""

    def __init__(self):
        self.began = time.monotonic()
        self.head = b""
        self.held = b""
        # When the first byte was sent that is held.
        self.held_since = 0.0


class PeerLink:
    """Forwards connections to a control VM. While it is cut for a sender, that is named
    in the first message of its connections, nothing that the sender sends arrives. What
    was sent on a connection that stood before the cut arrives with the next
    retransmission after the cut, also if the sender has closed the connection since:
    it closes without a reset. A connection that was opened during the cut is there once
    the cut has ended."""

    def __init__(self, address, target, record):
        self.target = target
        self.record = record
        self.cut_sender = None
        self.cut_at = 0.0
        self.ended_at = 0.0
        self.listener = socket.create_server(split(address), backlog=128)
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self, sender):
        """Cuts off a sender."""
        self.cut_at = time.monotonic()
        self.cut_sender = sender.encode()
        self.record.write("cut-begins", sender=sender, to=self.target)

    def heal(self):
        """Ends the cut."""
        self.ended_at = time.monotonic()
        self.cut_sender = None
        self.record.write("cut-ends", to=self.target)

    def accept(self):
        """Accepts connections."""
        while True:
            caller, _ = self.listener.accept()
            try:
                server = socket.create_connection(split(self.target), timeout=1)
            except OSError:
                caller.close()
                continue
            server.settimeout(None)
            for it in (caller, server):
                it.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for function in (self.forward, self.send_back):
                threading.Thread(target=function, args=(caller, server),
                                 daemon=True).start()

    def arrives_at(self, flow):
        """Returns when the held bytes arrive."""
        if flow.began > self.cut_at:
            return self.ended_at
        timeout = RETRANSMIT_SECONDS
        at = flow.held_since + timeout
        while at < self.ended_at:
            timeout *= 2
            at += timeout
        return at

    def forward(self, caller, server):
        """Forwards what a caller sends."""
        flow = Flow()
        closed = False
        caller.settimeout(POLL_SECONDS)
        try:
            while not closed or flow.held:
                data = b""
                if closed:
                    time.sleep(POLL_SECONDS)
                else:
                    try:
                        data = caller.recv(65536)
                        closed = not data
                    except TimeoutError:
                        pass
                if len(flow.head) < HEAD_BYTES:
                    flow.head += data
                self.pass_on(flow, data, server)
        except OSError:
            pass
        for it in (caller, server):
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            it.close()

    def pass_on(self, flow, data, server):
        """Passes data on, or holds it."""
        sender = self.cut_sender
        is_cut = sender is not None and sender in flow.head
        if data and (is_cut or flow.held):
            if not flow.held:
                flow.held_since = time.monotonic()
            flow.held += data
        elif data:
            server.sendall(data)
        if flow.held and not is_cut and time.monotonic() >= self.arrives_at(flow):
            after = time.monotonic() - flow.held_since
            self.record.write("held-bytes-arrive", bytes=len(flow.held),
                              after=f"{after:.3f}")
            server.sendall(flow.held)
            flow.held = b""

    @staticmethod
    def send_back(caller, server):
        """Forwards what the control VM sends back."""
        try:
            while data := server.recv(65536):
                caller.sendall(data)
        except OSError:
            pass
