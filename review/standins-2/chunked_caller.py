"""A caller that sends one request after another with a chunked body.

Started with the entry's address, a key, the size of the body and that of a chunk.
"""

import random
import socket
import sys
import time


def send(address, key, body_bytes, chunk_bytes):
    """Send one request on a connection of its own; return the status of its answer."""
    attempt_id = f"{random.getrandbits(64):016x}"
    head = (
        "POST /submit/1 HTTP/1.1\r\nHost: site.example\r\n"
        f"Bramleyturn-Attempt-Id: {attempt_id}\r\nBramleyturn-Deadline-Ms: 4003\r\n"
        f"Authorization: Bearer {key}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    with socket.create_connection(address, timeout=8) as connection:
        connection.sendall(head.encode())
        connection.sendall(chunk * (body_bytes // chunk_bytes) + b"0\r\n\r\n")
        answer = connection.recv(65536)
    return attempt_id, answer[9:12].decode()


def main():
    """Send requests until killed."""
    host, port, key, body_bytes, chunk_bytes = sys.argv[1:]
    while True:
        try:
            attempt_id, status = send(
                (host, int(port)), key, int(body_bytes), int(chunk_bytes)
            )
            line = f'{{"at": {time.monotonic():.3f}, "event": "chunked answered", '
            print(f'{line}"id": "{attempt_id}", "status": "{status}"}}', flush=True)
        except OSError:
            time.sleep(0.05)


if __name__ == "__main__":
    main()
