"""Read and write HTTP/1.1 messages, as little of it as the stand-ins need."""

import asyncio
from typing import NamedTuple


class Request(NamedTuple):
    """Holds a whole request; names of headers are in lower case."""

    method: str
    target: str
    headers: dict
    body: bytes


class Answer(NamedTuple):
    """Holds an answer; ``is_whole`` is False if it was broken off."""

    status: int
    headers: dict
    body: bytes
    is_whole: bool


async def read_head(reader):
    """Return the first line and the headers, None if the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader):
    """Return the next request, None if there is none."""
    found = await read_head(reader)
    if found is None:
        return None
    first, headers = found
    method, target, _ = first.split(" ")
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def head_bytes(status, headers):
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer_bytes(status, headers, body=b""):
    """Return a whole answer with a length."""
    return head_bytes(status, [*headers, ("Content-Length", len(body))]) + body


def request_bytes(method, target, headers, body=b""):
    """Return a whole request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_answer(reader):
    """Return an answer, whole or broken off; None if not even its head has come."""
    try:
        while True:
            found = await read_head(reader)
            if found is None:
                return None
            first, headers = found
            status = int(first.split(" ")[1])
            if status >= 200:
                break
    except ConnectionError:
        return None
    parts = []
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    break
                parts.append(data[:-2])
        elif "content-length" in headers:
            left = int(headers["content-length"])
            while left:
                data = await reader.read(min(left, 65536))
                if not data:
                    raise asyncio.IncompleteReadError(b"", left)
                parts.append(data)
                left -= len(data)
        else:
            while data := await reader.read(65536):
                parts.append(data)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status, headers, b"".join(parts), False)
    return Answer(status, headers, b"".join(parts), True)
