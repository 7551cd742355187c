"""Choice of free TCP ports on the loopback address."""

import random
import socket

# Below the range from which the system takes ports for outgoing connections,
# so that none of those takes a chosen port before its process starts.
FIRST_PORT = 10000
LAST_PORT = 30000


def is_free(port):
    """Whether a server could listen on the port now."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


_reserved = set()


def free_ports(count):
    """Returns that many ports that are free now and that no earlier call in
    this process returned."""
    generator = random.SystemRandom()
    ports = set()
    while len(ports) < count:
        port = generator.randint(FIRST_PORT, LAST_PORT)
        if port not in _reserved and is_free(port):
            _reserved.add(port)
            ports.add(port)
    return sorted(ports)
