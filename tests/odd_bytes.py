"""Sound messages of which a few bytes were replaced.

FUZZ_EXAMPLES=100000 plays so many examples, with fresh seeds.
"""

import os

from hypothesis import settings
from hypothesis import strategies as st

EXAMPLES_VARIABLE = "FUZZ_EXAMPLES"
FUZZ_SETTINGS = settings(
    max_examples=int(os.environ.get(EXAMPLES_VARIABLE, 3000)),
    derandomize=EXAMPLES_VARIABLE not in os.environ,
    deadline=None,
    database=None,
)
ODD_PIECES = (
    *(bytes([number]) for number in (0, 1, 8, 9, 10, 11, 12, 13, 27, 32, 34, 40, 44, 45, 47)),
    *(bytes([number]) for number in (48, 49, 57, 58, 59, 95, 102, 127, 128, 133, 160, 255)),
    b"\r\n",
    b"\r\n ",
    b"\r\n\r\n",
    b"X Bad: 1\r\n",
    b"Content-Length: 4\r\n",
    b"Content-Length: 5\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: gzip\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"0\r\n",
)


@st.composite
def odd_messages(draw, sound: tuple[bytes, ...], more_pieces: tuple[bytes, ...] = ()) -> bytes:
    """Return a sound message of which a few bytes were replaced."""
    data = draw(st.sampled_from(sound))
    for _ in range(draw(st.integers(1, 3))):
        start = draw(st.integers(0, len(data)))
        end = start + draw(st.integers(0, 3))
        data = data[:start] + draw(st.sampled_from((*ODD_PIECES, *more_pieces))) + data[end:]
    return data
