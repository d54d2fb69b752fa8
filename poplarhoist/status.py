"""Exit codes of the programs."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit code of a program."""

    OK = 0
    ERROR = 1
    USAGE = 2
    CONFLICT = 3
    TIMEOUT = 4
    UNAVAILABLE = 5
    NOT_FOUND = 6
    UNSETTLED = 7
    REFUSED = 8
    INTERRUPTED = 130
