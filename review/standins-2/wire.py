"""CBOR (the part that the protocol uses) and HTTP/1.1 over asyncio, for the stand-ins."""
import asyncio
import struct


def encode(value):
    if value is None:
        return b"\xf6"
    if value is True:
        return b"\xf5"
    if value is False:
        return b"\xf4"
    if isinstance(value, float):
        return b"\xfb" + struct.pack(">d", value)
    if isinstance(value, int):
        return _head(0, value) if value >= 0 else _head(1, -1 - value)
    if isinstance(value, str):
        text = value.encode()
        return _head(3, len(text)) + text
    if isinstance(value, (list, tuple)):
        return _head(4, len(value)) + b"".join(encode(item) for item in value)
    if isinstance(value, dict):
        return _head(5, len(value)) + b"".join(
            encode(str(key)) + encode(item) for key, item in value.items())
    raise TypeError(type(value))


def _head(major, number):
    if number < 24:
        return bytes([major << 5 | number])
    for extra, (size, code) in enumerate(((1, "B"), (2, "H"), (4, "I"), (8, "Q"))):
        if number < 1 << (8 * size):
            return bytes([major << 5 | 24 + extra]) + struct.pack(">" + code, number)
    raise ValueError(number)


def decode(data):
    value, at = _item(data, 0)
    if at != len(data):
        raise ValueError("bytes after the value")
    return value


def _item(data, at):
    first = data[at]
    at += 1
    major, low = first >> 5, first & 31
    if major == 7:
        if low == 20:
            return False, at
        if low == 21:
            return True, at
        if low == 22:
            return None, at
        size, code = {25: (2, "e"), 26: (4, "f"), 27: (8, "d")}[low]
        return struct.unpack(">" + code, data[at:at + size])[0], at + size
    if low < 24:
        number = low
    else:
        size, code = {24: (1, "B"), 25: (2, "H"), 26: (4, "I"), 27: (8, "Q")}[low]
        number = struct.unpack(">" + code, data[at:at + size])[0]
        at += size
    if major == 0:
        return number, at
    if major == 1:
        return -1 - number, at
    if major == 3:
        return data[at:at + number].decode(), at + number
    if major == 4:
        items = []
        for _ in range(number):
            item, at = _item(data, at)
            items.append(item)
        return items, at
    if major == 5:
        fields = {}
        for _ in range(number):
            key, at = _item(data, at)
            fields[key], at = _item(data, at)
        return fields, at
    raise ValueError("major type %d" % major)


async def read_message(reader):
    """Returns the first line and the body, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(":")
        if name:
            headers[name.strip().lower()] = text.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return lines[0], headers, body


async def serve(handler, address):
    """Serves HTTP. `handler(method, target, body)` returns (status, value), or None for no
    answer."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, _, body = message
                method, target, _ = line.split(" ", 2)
                answer = await handler(method, target, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                text = b"" if value is None else encode(value)
                writer.write(("HTTP/1.1 %d X\r\nContent-Type: application/cbor\r\n"
                              "Content-Length: %d\r\n\r\n" % (status, len(text))).encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    host, port = address.split(":")
    return await asyncio.start_server(connection, host, int(port), limit=1 << 20, backlog=512)


async def exchange(address, method, target, body=b"", timeout=5.0):
    """One request on a new connection. Returns (status, headers, body); status 0: no answer."""
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/cbor\r\n"
                          "Content-Length: %d\r\n\r\n" % (method, target, address, len(body))
                          ).encode() + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, {}, b""
            line, headers, answer = message
            return int(line.split(" ")[1]), headers, answer
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()
