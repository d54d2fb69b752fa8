"""Execution environment that is passed to every program instead of using globals."""

import os
import sys
from collections.abc import Mapping
from typing import TextIO

from attrs import define, field

from poplarhoist.clock import Clock, SystemClock


@define
class Environment:
    """Streams, clock and environment variables of a running program."""

    stdin: TextIO = field(factory=lambda: sys.stdin)
    stdout: TextIO = field(factory=lambda: sys.stdout)
    stderr: TextIO = field(factory=lambda: sys.stderr)
    clock: Clock = field(factory=SystemClock)
    variables: Mapping[str, str] = field(factory=lambda: os.environ)

    def print(self, text: str) -> None:
        """Write a line to standard output and flush it."""
        self.stdout.write(text + "\n")
        self.stdout.flush()

    def print_error(self, program: str, message: str) -> None:
        """Write an error message to standard error, with the program's name."""
        self.stderr.write(f"{program}: error: {message}\n")
        self.stderr.flush()
