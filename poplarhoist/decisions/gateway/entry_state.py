"""What an entry knows about another entry; only the reducer changes it.

All times are monotonic seconds of this process.
"""

from attrs import define, field


@define
class EntryState:
    """An entry as registered in the store.

    Attributes
    ----------
    relay_port : int
        Port at which it passes on requests of other entries; 0 if it does not.
    silent_until : float
        Until this time the entry counts as silent, as it did not answer.
    links_lost_until : float
        Until this time the entry counts as having no links to endpoints.
    avoid_until : float
        Until this time it gets no requests to pass on, as no connection to it could be made.
    copies_missed : int
        How often in a row it did not answer when it was asked for a copy of records.
    no_copies_until : float
        Until this time it counts as unable to give copies, for that reason.
    relaying : set
        Ids of this entry's requests that it passes on.
    """

    name: str
    host: str
    port: int
    zone: str = ""
    relay_port: int = 0
    silent_until: float = float("-inf")
    links_lost_until: float = float("-inf")
    avoid_until: float = float("-inf")
    copies_missed: int = 0
    no_copies_until: float = float("-inf")
    relaying: set[str] = field(factory=set)
