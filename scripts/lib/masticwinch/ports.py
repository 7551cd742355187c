"""Selects free TCP ports on the loopback address."""

import random
import socket

# Below the range that the system uses for outgoing connections, so that no
# connection takes a selected port before its process starts.
FIRST_PORT = 10000
LAST_PORT = 30000


def is_free(port):
    """Whether a server can currently listen on the port."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


_reserved = set()


def free_ports(count):
    """Returns `count` ports that are currently free and were not returned by an
    earlier call in this process."""
    generator = random.SystemRandom()
    ports = set()
    while len(ports) < count:
        port = generator.randint(FIRST_PORT, LAST_PORT)
        if port not in _reserved and is_free(port):
            _reserved.add(port)
            ports.add(port)
    return sorted(ports)
