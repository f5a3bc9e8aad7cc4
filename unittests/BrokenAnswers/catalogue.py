"""Answers of workers, broken and honest, and what a caller may get for them."""

import asyncio
import dataclasses
import typing

from worker import finish, reset

# A caller may get only a failure of the node itself.
REFUSED = "refused"
# A caller gets exactly the worker's answer.
SERVED = "served"
# Both are allowed, because a reset may overtake bytes that were sent before it.
EITHER = "either"

BODY = b"bytes of the worker"
# More than a connection buffers, so that a worker that does not read it ends
# its answer while the request is being written.
UPLOAD_BYTES = 12 * 1024 * 1024
PAUSE_S = 0.05


@dataclasses.dataclass
class Case:
    name: str
    # Sends the answer: an async function of the reader, the writer and the id.
    script: typing.Callable
    expected: str
    method: str = "POST"
    upload: int = 0
    # What the caller gets if the answer is served.
    status: int = 200
    body: bytes = BODY
    deadline_ms: int = 20000


def head_of(request, *lines, status_line="HTTP/1.1 200 OK"):
    """A head with the id of the request and the seal, then these lines."""
    first = [status_line, f"Request-Id: {request}", f"Server-Seal: seal.{request}"]
    return ("\r\n".join(first + list(lines)) + "\r\n\r\n").encode("latin-1")


FRAMINGS = {
    "no-length": ((), (BODY[:7], BODY[7:])),
    "length": ((f"Content-Length: {len(BODY)}",), (BODY[:7], BODY[7:])),
    "chunked": (("Transfer-Encoding: chunked",),
                (b"7\r\n" + BODY[:7], b"\r\n%x\r\n" % len(BODY[7:]) + BODY[7:] +
                 b"\r\n0\r\n\r\n")),
}


def cut_answer(framing, point, end, pause):
    """A script that sends an answer up to a point and ends the connection, after
    a pause or at once."""
    async def script(reader, writer, request):
        lines, (first, rest) = FRAMINGS[framing]
        head = head_of(request, *lines)
        sent = {"nothing": b"", "status": head[:12], "head": head[:-3],
                "empty-body": head, "body": head + first,
                "end": head + first + rest,
                "last-chunk": head + first + rest[:-5],
                "last-line": head + first + rest[:-2]}[point]
        writer.write(sent)
        await writer.drain()
        if pause:
            await asyncio.sleep(PAUSE_S)
        if end == "reset":
            reset(writer)
        elif end == "close":
            writer.close()
        else:
            await finish(reader, writer)
    return script


def cut_expectation(framing, point, end, upload):
    """What a caller may get for cut_answer, and the body if it is served."""
    # A socket that is closed with unread bytes is reset.
    is_reset = end == "reset" or (end == "close" and upload)
    if framing == "no-length" and point in ("empty-body", "body", "end"):
        body = {"empty-body": b"", "body": BODY[:7], "end": BODY}[point]
        return (REFUSED if is_reset else SERVED), body
    if point == "end":
        return (EITHER if is_reset else SERVED), BODY
    return REFUSED, BODY


def cut_cases():
    """Answers that end before, within and after each part."""
    points = ["nothing", "status", "head", "empty-body", "body", "end"]
    for framing in FRAMINGS:
        more = ["last-chunk", "last-line"] if framing == "chunked" else []
        for point in points + more:
            for upload in (0, UPLOAD_BYTES):
                for end in ("reset", "finish") + (("close",) if upload else ()):
                    for pause in (False, True) if end == "reset" else (True,):
                        expected, body = cut_expectation(framing, point, end,
                                                         upload)
                        name = "-".join([framing, point, end] +
                                        (["upload"] if upload else []) +
                                        (["late"] if pause else []))
                        yield Case(name, cut_answer(framing, point, end, pause),
                                   expected, upload=upload, body=body)


def sent(make, end="finish"):
    """A script that sends the bytes of make(request) and ends."""
    async def script(reader, writer, request):
        writer.write(make(request))
        await writer.drain()
        if end == "reset":
            await asyncio.sleep(PAUSE_S)
            reset(writer)
        elif end == "finish":
            await finish(reader, writer)
    return script


def interim_and_head_cases():
    """Cut answers to HEAD, and interim answers before a cut."""
    interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: </a>\r\n\r\n"
    length = f"Content-Length: {len(BODY)}"
    for end in ("reset", "finish"):
        for name, data in {"interim-only": interim,
                           "interim-cut": interim[:12],
                           "interim-switch": b"HTTP/1.1 101 X\r\nUpgrade: y\r\n"
                                             b"Connection: upgrade\r\n\r\n"}.items():
            yield Case(f"{name}-{end}", sent(lambda r, d=data: d, end), REFUSED)
        yield Case(f"interim-body-{end}",
                   sent(lambda r: interim + head_of(r, length) + BODY[:7], end),
                   REFUSED)
        yield Case(f"head-cut-{end}", sent(lambda r: head_of(r, length)[:-3], end),
                   REFUSED, method="HEAD")
    yield Case("interim-no-length-reset",
               sent(lambda r: interim + head_of(r) + BODY, "reset"), REFUSED)
    yield Case("interim-no-length-reset-upload",
               sent(lambda r: interim + head_of(r) + BODY, "reset"), REFUSED,
               upload=UPLOAD_BYTES)
    for status in (101, 199):
        yield Case(f"interim-{status}-as-answer",
                   sent(lambda r, s=status: head_of(
                       r, length, status_line=f"HTTP/1.1 {s} X") + BODY),
                   REFUSED)


STATUS_LINES = [
    "HTTP/1.1 000 X", "HTTP/1.1 000", "HTTP/1.1 001 X", "HTTP/1.1 099 X",
    "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 0 X", "HTTP/1.1 20 X",
    "HTTP/1.1 2000 X", "HTTP/1.1 0200 X", "HTTP/1.1 -20 X", "HTTP/1.1 +20 X",
    "HTTP/1.1 20x X", "HTTP/1.1  200 X", "HTTP/1.1 \t200 X", "HTTP/1.1\t200 X",
    "HTTP/1.1 200\x00 X", "HTTP/1.1 200 \x01", "HTTP/1.1 OK", "HTTP/1.1",
    "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", " HTTP/1.1 200 OK", "200 OK", "000",
]


def status_cases():
    """Status lines that HTTP does not define."""
    rests = {"length": (f"Content-Length: {len(BODY)}",), "no-length": (),
             "chunked": ("Transfer-Encoding: chunked",)}
    for number, line in enumerate(STATUS_LINES):
        for framing, lines in rests.items():
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY) \
                if framing == "chunked" else BODY
            yield Case(f"status-{number}-{line!r}-{framing}",
                       sent(lambda r, l=line, x=lines, b=body:
                            head_of(r, *x, status_line=l) + b), REFUSED)
        yield Case(f"status-{number}-{line!r}-head",
                   sent(lambda r, l=line: head_of(r, status_line=l)), REFUSED,
                   method="HEAD")


# Lines that neither a head nor trailers may hold.
BAD_LINES = [
    " Content-Length: 7", "\tContent-Length: 7", "Content-Length : 7",
    "Content-Length\t: 7", "Content Length: 7", "Content\tLength: 7",
    "Content-\x00Length: 7", "Content-Length\x00: 7", "\x00Content-Length: 7",
    "\x01Content-Length: 7", "Content-\x1fLength: 7", "Content-Length\x7f: 7",
    "\x0bContent-Length: 7", "Content-Length\x0c: 7", "Content-\rLength: 7",
    "Content-\nLength: 7", "X-One two: v", " X-Blank: v", "\tX-Blank: v",
    "X-Blank : v", "X-\x80: v", ": v", "X-No-Colon", " ", "\t", "X-Value: a\x00b",
    "X-Value: a\x01b", "X-Value: a\x7fb", "X-Value: a\rb", "X-Value: a\nb",
    "X-Value: a\r\n folded", "X-Value:\r\n\tfolded", " Transfer-Encoding: chunked",
    "Transfer-Encoding : chunked", "Transfer Encoding: chunked",
]


def field_cases():
    """Blanks and control bytes in the lines of a head or of trailers."""
    length = f"Content-Length: {len(BODY)}"
    for number, line in enumerate(BAD_LINES):
        def place(where, request, line=line):
            if where == "first":
                return (f"HTTP/1.1 200 OK\r\n{line}\r\nRequest-Id: {request}\r\n"
                        f"Server-Seal: seal.{request}\r\n\r\n"
                        ).encode("latin-1") + BODY
            if where == "last":
                return head_of(request, line) + BODY
            if where == "length":
                return head_of(request, length, line) + BODY
            if where == "interim":
                return (f"HTTP/1.1 103 X\r\nLink: a\r\n{line}\r\n\r\n".encode(
                    "latin-1") + head_of(request, length) + BODY)
            return head_of(request, "Transfer-Encoding: chunked") + (
                b"%x\r\n%b\r\n0\r\nX-Trailer: v\r\n%b\r\n\r\n" % (
                    len(BODY), BODY, line.encode("latin-1")))
        for where in ("first", "last", "length", "interim", "trailer"):
            yield Case(f"field-{number}-{line!r}-{where}",
                       sent(lambda r, w=where, p=place: p(w, r)), REFUSED)
        yield Case(f"field-{number}-{line!r}-head",
                   sent(lambda r, p=place: p("length", r)[:-len(BODY)]), REFUSED,
                   method="HEAD")


CODINGS = [
    ("Transfer-Encoding: gzip, chunked",), ("Transfer-Encoding: gzip",),
    ("Transfer-Encoding: chunked, gzip",), ("Transfer-Encoding: xchunked",),
    ("Transfer-Encoding: chunked, chunked",), ("Transfer-Encoding: identity",),
    ("Transfer-Encoding: chunked", "Transfer-Encoding: chunked"),
    ("Transfer-Encoding: gzip", "Transfer-Encoding: chunked"),
    ("Transfer-Encoding: \x0bchunked",), ("Transfer-Encoding: \"chunked\"",),
    ("Transfer-Encoding:",),
    ("Transfer-Encoding: chunked", "Content-Length: 7"),
    ("Content-Length: 7", "Transfer-Encoding: chunked"),
    ("Transfer-Encoding: gzip", "Content-Length: 7"),
    ("Content-Length: 7", "Content-Length: 9"), ("Content-Length: 7, 9",),
    ("Content-Length: -7",), ("Content-Length: +7",), ("Content-Length: 7 7",),
    ("Content-Length: 0x7",), ("Content-Length: 7.0",), ("Content-Length:",),
    ("Content-Length: 99999999999999999999999",),
]


def framing_cases():
    """Heads that leave the end of the body open."""
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
    for lines in CODINGS:
        for name, body in (("plain", BODY), ("chunks", chunks)):
            yield Case(f"framing-{'; '.join(lines)!r}-{name}",
                       sent(lambda r, l=lines, b=body: head_of(r, *l) + b),
                       REFUSED)
    yield Case("framing-chunked-in-1.0",
               sent(lambda r: head_of(r, "Transfer-Encoding: chunked",
                                      status_line="HTTP/1.0 200 OK") + chunks),
               REFUSED)
    for name, bad in {"size": b"x\r\n", "no-size": b"\r\n", "blank": b" 7\r\n",
                      "negative": b"-7\r\n", "hex": b"0x7\r\n",
                      "huge": b"f" * 17 + b"\r\n", "newline": b"7\n",
                      "short": b"7\r\nabc\r\n"}.items():
        yield Case(f"framing-chunk-{name}",
                   sent(lambda r, b=bad: head_of(
                       r, "Transfer-Encoding: chunked") + b + BODY[:7] +
                       b"\r\n0\r\n\r\n"), REFUSED)


async def send_slowly(writer, data):
    for at in range(0, len(data), 7):
        writer.write(data[at:at + 7])
        await writer.drain()
        await asyncio.sleep(0.002)


def read_on_later(make, keeps):
    """Answers before the upload is read, then reads the upload."""
    async def script(reader, writer, request):
        writer.write(make(request))
        await writer.drain()
        if not keeps:
            await finish(reader, writer)
            return
        await asyncio.sleep(PAUSE_S)
        await reader.readexactly(UPLOAD_BYTES)
    return script


def honest_cases():
    """Answers that HTTP and the platform's pages allow."""
    length = f"Content-Length: {len(BODY)}"
    chunked = "Transfer-Encoding: chunked"
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
    large = bytes(range(256)) * (12 * 1024)

    def one(name, make, **more):
        return Case(f"honest-{name}", sent(make), SERVED, **more)

    yield one("length", lambda r: head_of(r, length) + BODY)
    yield one("no-length", lambda r: head_of(r) + BODY)
    yield one("no-length-empty", lambda r: head_of(r), body=b"")
    yield one("no-length-large", lambda r: head_of(r) + large, body=large)
    yield one("length-large", lambda r: head_of(
        r, f"Content-Length: {len(large)}") + large, body=large)
    yield one("chunked", lambda r: head_of(r, chunked) + chunks)
    yield one("chunked-capitals", lambda r: head_of(
        r, "TRANSFER-ENCODING:   Chunked  ") + chunks)
    yield one("chunked-bytes", lambda r: head_of(r, chunked) + b"".join(
        b"1\r\n%c\r\n" % byte for byte in large[:65536]) + b"0\r\n\r\n",
        body=large[:65536])
    yield one("chunked-extension", lambda r: head_of(r, chunked) +
              b"%x;a=b;c=\"d e\"\r\n%b\r\n0;last\r\n\r\n" % (len(BODY), BODY))
    yield one("chunked-trailer", lambda r: head_of(
        r, chunked, "Trailer: X-Sum") + b"%x\r\n%b\r\n0\r\nX-Sum: 5\r\n\r\n" % (
            len(BODY), BODY))
    yield one("chunked-zeros", lambda r: head_of(r, chunked) +
              b"%04x\r\n%b\r\n000\r\n\r\n" % (len(BODY), BODY))
    yield one("fields", lambda r: head_of(
        r, length, "X-Empty:", "X-Empty-Blank:  ", "x!#$%&'*+-.^_`|~9: v",
        "X-Tight:v", "X-Blanks: \t a  b \t ", "X-Tab: a\tb",
        "X-Obsolete: \xe9\xff", "X-Colon: a:b : c", "Set-Cookie: a", "Set-Cookie: b",
        "Keep-Alive: timeout=5", "Date: Mon, 07 Dec 2026 04:16:32 GMT",
        "Content-Type: text/plain; charset=utf-8") + BODY)
    yield one("lower-case", lambda r: (
        f"HTTP/1.1 200 OK\r\nrequest-id: {r}\r\nserver-seal: seal.{r}\r\n"
        f"content-length: {len(BODY)}\r\n\r\n").encode() + BODY)
    yield one("large-head", lambda r: head_of(
        r, length, *(f"X-{n}: " + "v" * 100 for n in range(50))) + BODY)
    yield one("repeated-length", lambda r: head_of(r, length, length) + BODY)
    yield one("no-reason", lambda r: head_of(
        r, length, status_line="HTTP/1.1 200 ") + BODY)
    yield one("long-reason", lambda r: head_of(
        r, length, status_line="HTTP/1.1 200 it is \xe9 good\tday") + BODY)
    yield one("http-1.0", lambda r: head_of(
        r, status_line="HTTP/1.0 200 OK") + BODY)
    yield one("close", lambda r: head_of(r, length, "Connection: close") + BODY)
    yield one("interim", lambda r: b"HTTP/1.1 100 Continue\r\n\r\n" + head_of(
        r, length) + BODY)
    yield one("interims", lambda r: b"HTTP/1.1 102 X\r\n\r\n" * 3 +
              b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n" +
              head_of(r, length) + BODY)
    for status in (201, 206, 404, 410, 500, 504, 599):
        yield one(f"status-{status}", lambda r, s=status: head_of(
            r, length, status_line=f"HTTP/1.1 {s} X") + BODY, status=status)
    for status in (204, 304):
        yield one(f"status-{status}", lambda r, s=status: head_of(
            r, status_line=f"HTTP/1.1 {s} X"), status=status, body=b"")
    for name, lines in {"length": (length,), "chunked": (chunked,),
                        "plain": ()}.items():
        yield one(f"head-{name}", lambda r, l=lines: head_of(r, *l),
                  method="HEAD", body=b"")

    def slow(make):
        async def script(reader, writer, request):
            await send_slowly(writer, make(request))
            await finish(reader, writer)
        return script

    yield Case("honest-slow-length", slow(lambda r: head_of(r, length) + BODY),
               SERVED)
    yield Case("honest-slow-chunked", slow(lambda r: head_of(r, chunked) + chunks),
               SERVED)
    yield Case("honest-slow-no-length", slow(lambda r: head_of(r) + BODY), SERVED)
    for name, make in {
            "length": lambda r: head_of(r, length) + BODY,
            "chunked": lambda r: head_of(r, chunked) + chunks,
            "status-500": lambda r: head_of(
                r, length, status_line="HTTP/1.1 500 X") + BODY}.items():
        for keeps in (True, False):
            yield Case(f"honest-early-{name}-{'kept' if keeps else 'ended'}",
                       read_on_later(make, keeps), SERVED, upload=UPLOAD_BYTES,
                       status=500 if name == "status-500" else 200)
    yield Case("honest-early-no-length-ended",
               read_on_later(lambda r: head_of(r) + BODY, False), SERVED,
               upload=UPLOAD_BYTES)


GROUPS = {
    "cut": lambda: list(cut_cases()) + list(interim_and_head_cases()),
    "status": lambda: list(status_cases()),
    "fields": lambda: list(field_cases()),
    "framing": lambda: list(framing_cases()),
    "honest": lambda: list(honest_cases()),
}
