"""The publisher's client of the fake platform."""

from attrs import define

from poplarhoist.entry.platform import Answer
from poplarhoist.replay.fakes import FakePlatform


@define
class FakePlatformClient:
    """Gives the publisher access to the fake platform, through the interface of its HTTP client."""

    platform: FakePlatform

    def get(self, path: str) -> Answer:
        """Return an object with status and version."""
        return Answer(*self.platform.get(path))

    def put(self, path: str, value: object, expect: int) -> Answer:
        """Write an object if its version is as expected."""
        return Answer(*self.platform.put(path, value, expect))

    def delete(self, path: str, expect: int) -> Answer:
        """Delete an object if its version is as expected."""
        return Answer(*self.platform.put(path, None, expect))
