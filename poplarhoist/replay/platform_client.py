"""The fake platform as the writer of the configuration sees it."""

from attrs import define

from poplarhoist.entry.platform import CallResult
from poplarhoist.replay.fakes import FakePlatform


@define
class FakePlatformClient:
    """The fake platform as the writer of the configuration sees it."""

    platform: FakePlatform

    def get(self, path: str) -> CallResult:
        """Read an object."""
        return CallResult(*self.platform.get(path))

    def put(self, path: str, value: object, expect: int) -> CallResult:
        """Write an object if its version is as expected."""
        return CallResult(*self.platform.put(path, value, expect))

    def delete(self, path: str, expect: int) -> CallResult:
        """Delete an object if its version is as expected."""
        return CallResult(*self.platform.put(path, None, expect))
