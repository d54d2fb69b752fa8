"""Bodies of requests, as the servers of both interfaces read them."""

import io

import pytest
from eventlet.wsgi import ChunkReadError, Input

from poplarhoist.entry.protocol import MAX_LINE_BYTES, StrictInput
from tests.endless_requests import ENDLESS_PARTS

CHUNKED_PARTS = ["chunk-size", "chunk-extension", "chunk-end", "trailer", "trailers"]


def strict_input(data: bytes) -> tuple[StrictInput, io.BytesIO]:
    """Return the input of a chunked request, and the file that it reads."""
    file = io.BytesIO(data)
    return StrictInput(Input(file, None, None, chunked_input=True), None), file


@pytest.mark.parametrize("part", CHUNKED_PARTS)
def test_line_of_a_chunked_body_without_end_is_read_up_to_its_bound(part):
    before, piece = ENDLESS_PARTS[part]
    body = before.partition(b"\r\n\r\n")[2]
    reader, file = strict_input(body + piece * (1048576 // len(piece)))
    with pytest.raises(ChunkReadError):
        reader.read()
    assert file.tell() <= len(body) + MAX_LINE_BYTES + 2
    with pytest.raises(ChunkReadError):
        reader.discard()


@pytest.mark.parametrize("size", [1, 3, 4, 5, 100, None])
def test_body_is_read_in_pieces_of_any_size(size):
    reader, file = strict_input(b"4\r\nplan\r\n3;a=b\r\nned\r\n0\r\nX: y\r\n\r\nnext")
    pieces = []
    while piece := reader.read(size):
        pieces.append(piece)
    assert b"".join(pieces) == b"planned"
    assert file.read() == b"next"


@pytest.mark.parametrize("cut", range(1, 21))
def test_body_that_breaks_off_is_an_error(cut):
    reader, _ = strict_input(b"4\r\nplan\r\n0\r\nX: y\r\n\r\n"[:-cut])
    with pytest.raises(ChunkReadError):
        while reader.read(2):
            pass


def test_rest_of_a_body_is_discarded_up_to_a_bound():
    reader, file = strict_input(b"4\r\nplan\r\n0\r\n\r\nnext")
    reader.discard()
    assert file.read() == b"next"
    reader, _ = strict_input(b"fffff\r\n" + b"x" * 0xFFFFF + b"\r\n0\r\n\r\n")
    with pytest.raises(ChunkReadError):
        reader.discard()
