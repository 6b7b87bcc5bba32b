"""Finds where each HTTP request on a connection ends, and bounds what is kept of an incomplete one; no I/O.

A request is passed on only once it is complete, as one block of bytes: an HTTP parser behind this module
never holds a part of a request. A chunked body is passed on with a Content-Length in place of its chunks, so
that chunk sizes, extensions and trailer fields cost no memory.
"""

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum, auto

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADER_FIELDS = 128
MAX_BLANK_BYTES = 256  # of blank lines before a request line
MAX_CHUNK_LINE_BYTES = 256  # a chunk's size with its extensions
MAX_TRAILER_BYTES = 4096
MAX_TRAILER_FIELDS = 32
# Each chunk costs time, however little it carries: this many are allowed, and one more for each
# `MEAN_CHUNK_BYTES` of the body.
MAX_SMALL_CHUNKS = 512
MEAN_CHUNK_BYTES = 16

_END_OF_HEAD = b"\r\n\r\n"
_LINE_END = b"\r\n"
_BLANK_LINES = re.compile(rb"[\r\n]+")
_REQUEST_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,32} [^\x00-\x20\x7f]+ HTTP/1\.[01]\r\n")
# The fields that determine where a request ends or what the client waits for before it sends the body.
CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT, UPGRADE = (
    "Content-Length",
    "Transfer-Encoding",
    "Expect",
    "Upgrade",
)
_FRAMING_FIELD = re.compile(  # only the names ignore case, so that line ends are searched for literally
    rb"\r\n(?i:(%b)[ \t]*):[ \t]*([^\r\n]*)"
    % "|".join((CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT, UPGRADE)).encode()
)
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?\r\n")
_PLAIN_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})\r\n")
_CONTENT_LENGTH = CONTENT_LENGTH.lower().encode()
_PLAIN_LENGTH = re.compile(rb"\d{1,6}")
_LENGTH = re.compile(r"\d{1,18}", re.ASCII)


class FramingError(Exception):
    """A request is malformed or exceeds a limit; ``status`` is the HTTP status of its answer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(slots=True, frozen=True)
class FramedRequest:
    """A complete request: head and body. ``switches_protocol``: it asks for another protocol than HTTP."""

    data: bytes
    switches_protocol: bool = False


class _State(Enum):
    HEAD = auto()
    BODY = auto()  # a body of known length
    CHUNK_LINE = auto()
    CHUNK_DATA = auto()
    CHUNK_END = auto()  # the line end behind a chunk's data
    TRAILER = auto()


def check_framing(lengths: Sequence[str], codings: Sequence[str]) -> None:
    """Reject a request whose framing is ambiguous; raises `FramingError`.

    ``lengths`` and ``codings`` are the values of its Content-Length and Transfer-Encoding fields. Two parsers
    could disagree about where such a request ends (request smuggling).
    """
    if len(lengths) + len(codings) > 1:
        raise FramingError(
            400, "more than one Content-Length or Transfer-Encoding header; at most one of the two is allowed"
        )
    well_formed = all(_LENGTH.fullmatch(x) for x in lengths) and all(x.lower() == "chunked" for x in codings)
    if not well_formed:
        raise FramingError(
            400, "Content-Length must be 1 to 18 digits, or Transfer-Encoding must be 'chunked'"
        )


class RequestFramer:
    """Splits the bytes of one connection into complete requests."""

    def __init__(self, max_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self._state = _State.HEAD
        self._head = bytearray()  # the head, complete unless the state is HEAD
        self._body = bytearray()  # the received part of the body, without chunk framing
        self._line = bytearray()  # an incomplete line of chunk framing or of the trailer
        self._missing = 0  # bytes of the body or of the current chunk that have not arrived
        self._chunks = 0  # number of chunks of the body so far
        self._trailer_bytes = self._trailer_fields = 0
        self._blank_bytes = 0  # of blank lines since the last complete request
        self._expects_continue = False
        self._switches_protocol = False

    @property
    def held_bytes(self) -> int:
        """The number of bytes kept of an incomplete request."""
        return len(self._head) + len(self._body) + len(self._line)

    @property
    def is_empty(self) -> bool:
        """Whether no byte of a request has arrived since the last complete one; blank lines do not count."""
        return not self._head

    @property
    def awaits_continue(self) -> bool:
        """Whether the client waits for an interim response before it sends the body."""
        return self._expects_continue and self._state is not _State.HEAD and not self._body

    def feed(self, data: bytes) -> Iterator[FramedRequest]:
        """Add received bytes; yield the requests that they complete, in order. Raises `FramingError`."""
        position = 0
        while position < len(data):
            position = self._consume(data, position)
            if self._state is not _State.HEAD and self._is_complete():
                yield self._take()

    def is_whole_request(self, data: bytes) -> bool:
        """Whether ``data`` is exactly one request in plain form, and nothing of an earlier one is kept.

        Most reads are, and `feed`, which accepts all forms, costs several times as much.
        """
        end = data.find(_END_OF_HEAD)
        if self._head or not 0 <= end < MAX_HEAD_BYTES or data.startswith(b"CONNECT "):
            return False
        fields = _FRAMING_FIELD.findall(data, 0, end + 2)
        length = 0
        if fields:
            name, value = fields[0]
            if len(fields) > 1 or name.lower() != _CONTENT_LENGTH or not _PLAIN_LENGTH.fullmatch(value):
                return False
            length = int(value)
        return length <= self.max_body_bytes and end + len(_END_OF_HEAD) + length == len(data)

    def clear(self) -> None:
        """Drop what is kept of an incomplete request."""
        self._state = _State.HEAD
        self._head, self._body, self._line = bytearray(), bytearray(), bytearray()

    def _consume(self, data: bytes, position: int) -> int:
        """Process a part of ``data`` from ``position`` on; return the position of the first byte after it."""
        match self._state:
            case _State.HEAD:
                return self._consume_head(data, position)
            case _State.BODY | _State.CHUNK_DATA:
                return self._consume_body(data, position)
            case _:
                return self._consume_line(data, position)

    def _consume_head(self, data: bytes, position: int) -> int:
        if not self._head:
            position = self._skip_blank_lines(data, position)
        kept = len(self._head)
        searched = max(0, kept - len(_END_OF_HEAD) + 1)
        self._head += data[position : position + MAX_HEAD_BYTES + 1 - kept]
        end = self._head.find(_END_OF_HEAD, searched)
        if end < 0:
            self._check_incomplete_head()
            return len(data)
        end += len(_END_OF_HEAD)
        del self._head[end:]
        self._begin_body(bytes(self._head))
        return position + end - kept

    def _skip_blank_lines(self, data: bytes, position: int) -> int:
        if blank_lines := _BLANK_LINES.match(data, position):
            self._blank_bytes += blank_lines.end() - position
            if self._blank_bytes > MAX_BLANK_BYTES:
                raise FramingError(400, "too many blank lines before a request")
            return blank_lines.end()
        return position

    def _check_incomplete_head(self) -> None:
        if len(self._head) > MAX_HEAD_BYTES:
            raise FramingError(400, f"request head exceeds {MAX_HEAD_BYTES} bytes")
        if _LINE_END in self._head and not _REQUEST_LINE.match(self._head):
            raise FramingError(400, "request line is not valid HTTP/1.1")

    def _begin_body(self, head: bytes) -> None:
        """Determine from a complete head how its body is framed."""
        if not _REQUEST_LINE.match(head):
            raise FramingError(400, "request line is not valid HTTP/1.1")
        if head.count(_LINE_END) > MAX_HEADER_FIELDS + 2:  # with the request line and the empty line
            raise FramingError(400, f"request head has more than {MAX_HEADER_FIELDS} fields")
        fields = _framing_fields(head)
        lengths, codings = fields.get(CONTENT_LENGTH, []), fields.get(TRANSFER_ENCODING, [])
        check_framing(lengths, codings)
        self._expects_continue = any(value.lower() == "100-continue" for value in fields.get(EXPECT, []))
        self._switches_protocol = head.startswith(b"CONNECT ") or UPGRADE in fields
        self._chunks = self._trailer_bytes = self._trailer_fields = self._blank_bytes = 0
        self._missing = int(lengths[0]) if lengths else 0
        self._check_body_size(self._missing)
        self._state = _State.CHUNK_LINE if codings else _State.BODY

    def _check_body_size(self, size: int) -> None:
        if size > self.max_body_bytes:
            raise FramingError(413, f"request body exceeds {self.max_body_bytes} bytes")

    def _consume_body(self, data: bytes, position: int) -> int:
        part = data[position : position + self._missing]
        self._body += part
        self._missing -= len(part)
        if self._state is _State.CHUNK_DATA and not self._missing:
            self._state = _State.CHUNK_END
        return position + len(part)

    def _consume_line(self, data: bytes, position: int) -> int:
        """Read up to the end of one line of the chunk framing or the trailer, and act on it if complete."""
        if self._state is _State.CHUNK_LINE and not self._line:
            position = self._consume_whole_chunks(data, position)
            if position == len(data):
                return position
        limit = MAX_TRAILER_BYTES if self._state is _State.TRAILER else MAX_CHUNK_LINE_BYTES
        end = data.find(b"\n", position, position + limit)
        stop = end + 1 if end >= 0 else min(len(data), position + limit)
        self._line += data[position:stop]
        if len(self._line) > limit:
            raise FramingError(400, "the framing of a chunked body is too long")
        if end >= 0:
            line, self._line = self._line, bytearray()
            self._end_line(line)
        elif stop < len(data):
            raise FramingError(400, "the framing of a chunked body is too long")
        return stop

    def _consume_whole_chunks(self, data: bytes, position: int) -> int:
        """Add the chunks that ``data`` has whole, without extensions, to the body.

        Returns the position of the first byte after them.
        """
        while match := _PLAIN_CHUNK_LINE.match(data, position):
            size = int(match[1], 16)
            end = match.end() + size
            if not size or data[end : end + 2] != _LINE_END:
                break
            self._count_chunk(size)
            self._body += data[match.end() : end]
            position = end + 2
        return position

    def _count_chunk(self, size: int) -> None:
        """Check the limits of size and number before a chunk of ``size`` bytes is accepted."""
        self._check_body_size(len(self._body) + size)
        self._chunks += 1
        if self._chunks > MAX_SMALL_CHUNKS + len(self._body) // MEAN_CHUNK_BYTES:
            raise FramingError(400, "the body has too many small chunks")

    def _end_line(self, line: bytearray) -> None:
        if self._state is _State.CHUNK_LINE:
            self._begin_chunk(line)
        elif self._state is _State.CHUNK_END:
            if line != _LINE_END:
                raise FramingError(400, "a chunk does not end with a line end")
            self._state = _State.CHUNK_LINE
        elif line == _LINE_END:
            self._state, self._missing = _State.BODY, 0
        else:
            self._trailer_bytes += len(line)
            self._trailer_fields += 1
            if self._trailer_bytes > MAX_TRAILER_BYTES or self._trailer_fields > MAX_TRAILER_FIELDS:
                raise FramingError(400, "the trailer of a chunked body is too long")

    def _begin_chunk(self, line: bytearray) -> None:
        if not (match := _CHUNK_LINE.fullmatch(line)):
            raise FramingError(400, "the size of a chunk is not a hexadecimal number")
        self._missing = int(match[1], 16)
        self._count_chunk(self._missing)
        if self._missing:
            self._state = _State.CHUNK_DATA
        else:
            self._state = _State.TRAILER
            self._replace_chunked_by_length()

    def _replace_chunked_by_length(self) -> None:
        length = b"\r\nContent-Length: %d" % len(self._body)
        coding = next(
            m for m in _FRAMING_FIELD.finditer(self._head) if m[1].decode().title() == TRANSFER_ENCODING
        )
        self._head[coding.start() : coding.end()] = length

    def _is_complete(self) -> bool:
        return self._state is _State.BODY and not self._missing

    def _take(self) -> FramedRequest:
        request = FramedRequest(bytes(self._head) + self._body, self._switches_protocol)
        self.clear()
        return request


def _framing_fields(head: bytes) -> dict[str, list[str]]:
    """The values of the fields that concern framing, by name."""
    fields: dict[str, list[str]] = {}
    for match in _FRAMING_FIELD.finditer(head):
        fields.setdefault(match[1].decode().title(), []).append(match[2].strip().decode("latin-1"))
    return fields
