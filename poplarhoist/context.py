"""The environment that every program receives instead of globals."""

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
        """Write a line for people or programs to standard output."""
        self.stdout.write(text + "\n")
        self.stdout.flush()

    def print_error(self, program: str, message: str) -> None:
        """Write a human error to standard error."""
        self.stderr.write(f"{program}: error: {message}\n")
        self.stderr.flush()
