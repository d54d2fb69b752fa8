"""The fake platform as the writer of the configuration sees it."""

from attrs import define

from poplarhoist.entry.platform import Answer
from poplarhoist.replay.fakes import FakePlatform


@define
class FakePlatformClient:
    """The fake platform as the writer of the configuration sees it."""

    platform: FakePlatform

    def get(self, path: str) -> Answer:
        """Read an object."""
        return Answer(*self.platform.get(path))

    def put(self, path: str, value: object, expect: int) -> Answer:
        """Write an object if its version is as expected."""
        return Answer(*self.platform.put(path, value, expect))

    def delete(self, path: str, expect: int) -> Answer:
        """Delete an object if its version is as expected."""
        return Answer(*self.platform.put(path, None, expect))
