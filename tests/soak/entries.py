"""Entries of the soak: real processes that are paused, killed, stopped and started again."""

import time
from pathlib import Path

from tests.platform_site import ENTRY_ARGS, PlatformEntry
from tests.soak.proxy import Proxy

START_TIMEOUT_S = 20.0
# Runs an entry after some statements that break one of its protections.
MUTANT_PROGRAM = "{}\nimport runpy; runpy.run_module('poplarhoist.platform', run_name='__main__')"


class SoakEntry(PlatformEntry):
    """One entry, with a proxy of its own to the store.

    Attributes
    ----------
    lifetime : int
        Number of starts so far.
    """

    def __init__(self, name: str, directory: Path, store_port: int, mutation: str) -> None:
        self.store_proxy = Proxy(store_port)
        super().__init__(name, directory, self.store_proxy.port)
        self.python_args = ("-c", MUTANT_PROGRAM.format(mutation)) if mutation else ENTRY_ARGS
        self.incarnation = 0

    def start(self) -> None:
        """Start the process."""
        self.launch(self.python_args)
        self.incarnation += 1

    def wait_ready(self) -> bool:
        """Wait until the entry is ready; return whether it became so in time."""
        deadline_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_at:
            if self.get_status() == 200:
                return True
            time.sleep(0.05)
        return False

    def stop(self) -> None:
        """End everything."""
        self.kill()
        self.store_proxy.stop()
