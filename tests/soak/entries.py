"""Entries of the soak: real processes that can be paused, killed, stopped and restarted."""

import time
from pathlib import Path

from tests.platform_site import ENTRY_ARGS, PlatformEntry
from tests.soak.proxy import Proxy

START_TIMEOUT_S = 20.0
# Program that applies a mutation, which disables one protection, and then runs the entry.
MUTANT_PROGRAM = "{}\nimport runpy; runpy.run_module('poplarhoist.platform', run_name='__main__')"


class SoakEntry(PlatformEntry):
    """One entry, with its own proxy to the store.

    Attributes
    ----------
    store_proxy : Proxy
        Proxy through which the entry reaches the store.
    python_args : tuple
        Arguments of the Python interpreter, with the mutation if there is one.
    incarnation : int
        Number of starts so far.
    """

    def __init__(self, name: str, directory: Path, store_port: int, mutation: str) -> None:
        self.store_proxy = Proxy(store_port)
        super().__init__(name, directory, self.store_proxy.port)
        self.python_args = ("-c", MUTANT_PROGRAM.format(mutation)) if mutation else ENTRY_ARGS
        self.incarnation = 0

    def start(self) -> None:
        """Start the process, without waiting until it is ready."""
        self.launch(self.python_args)
        self.incarnation += 1

    def wait_ready(self) -> bool:
        """Wait until the entry is ready; return False if the timeout passes first."""
        deadline_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_at:
            if self.get_status() == 200:
                return True
            time.sleep(0.05)
        return False

    def stop(self) -> None:
        """Kill the process and stop the proxy."""
        self.kill()
        self.store_proxy.stop()
