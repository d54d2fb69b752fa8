"""The publisher's client of the fake platform."""

from attrs import define

from poplarhoist.entry.platform import CallResult
from poplarhoist.replay.fakes import FakePlatform


@define
class FakePlatformClient:
    """Gives the publisher access to the fake platform, through the interface of its HTTP client."""

    platform: FakePlatform

    def get(self, path: str) -> CallResult:
        """Return an object with status and version."""
        return CallResult(*self.platform.get(path))

    def put(self, path: str, value: object, expect: int) -> CallResult:
        """Write an object if its version is as expected."""
        return CallResult(*self.platform.put(path, value, expect))

    def delete(self, path: str, expect: int) -> CallResult:
        """Delete an object if its version is as expected."""
        return CallResult(*self.platform.put(path, None, expect))
