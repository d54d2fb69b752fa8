"""State of the quotas of teams: this entry's asks and tokens, and the buckets that it keeps.

All times are monotonic seconds of this process. Tokens are in the unit of the team's quota.
"""

from __future__ import annotations

from collections import deque

from attrs import define, field, frozen

from poplarhoist.decisions.gateway.messages import QuotaGrant
from poplarhoist.decisions.gateway.models import QuotaTerms


@frozen
class EntryAddress:
    """Where an entry receives messages."""

    host: str
    port: int


@define
class PendingQuotaAsk:
    """The unanswered ask of this entry for tokens of one team.

    Attributes
    ----------
    number : int
        Repeated asks have the same number, so that tokens are not granted twice.
    to : str
        Entry that was asked.
    asked_at : float
        When the ask began.
    sent_at : list
        When it was sent to that entry.
    returned : float
        Tokens of this entry that expired unused, which it gives back.
    request_ids, tokens, priorities : tuple
        The requests that it names, what they need, and how urgent they are.
    """

    number: int
    to: str
    asked_at: float
    returned: float
    sent_at: list[float] = field(factory=list)
    request_ids: tuple[str, ...] = ()
    tokens: tuple[float, ...] = ()
    priorities: tuple[int, ...] = ()


@define
class Charge:
    """The tokens of one request.

    Attributes
    ----------
    expires_at : float
        The request may not be sent with them after that.
    possible_runs : int
        Runs of the request that were possible when it was charged; a further run needs new tokens.
    """

    team: str
    tokens: float
    expires_at: float
    possible_runs: int


@define
class Account:
    """What this entry holds and wants of one team's tokens.

    Attributes
    ----------
    prepaid : list
        When tokens expire, and how many, the earliest first.
    expired : float
        Tokens that expired unused and were not given back yet.
    waiting_since : dict
        When a request began to wait for tokens, by its id.
    next_ask_at : float
        Earliest time of the next ask, if the latest one was refused for a moment.
    other, other_until : str, float
        Entry that is asked in place of the keeper, which named it, and until when.
    """

    prepaid: list[tuple[float, float]] = field(factory=list)
    expired: float = 0.0
    waiting_since: dict[str, float] = field(factory=dict)
    pending: PendingQuotaAsk | None = None
    next_ask_at: float = float("-inf")
    other: str = ""
    other_until: float = float("-inf")


@define
class TokenBucket:
    """The token bucket of one team at its keeper or secondary.

    Attributes
    ----------
    rate_per_s, burst : float
        Tokens a second, and the highest level.
    window_limit : float
        Most tokens that may be used in one window of the rule, from this bucket alone.
    overdraft : float
        How far below zero the level may be for the most urgent requests.
    valid_s : float
        Seconds after which granted tokens that were not used expire.
    begins_at : float
        The level does not grow before.
    granted : dict
        Granted tokens that may be used in the present window, by the time slice that they expire in.
    granted_tokens : float
        Their sum.
    prepaid : deque
        Expiry and number of tokens that were granted ahead of requests.
    asks_by_entry : dict
        Times and tokens of the latest asks, by entry.
    answers : dict
        Answers by entry and number of the ask, and when they were given, the oldest first.
    promised_until : float
        By then the tokens accrue that refused asks were told to come back for.
    accepted_at, accepted_from : float, str
        When another entry handed the bucket over to this one, and which.
    may_be_unknown : bool
        Whether it began as this entry joined, so that the previous keeper may not know of that.
    claimed_at : float
        When it was last claimed from entries that may think that they are the keeper.
    """

    refilled_at: float
    begins_at: float
    rate_per_s: float = 0.0
    burst: float = 0.0
    window_limit: float = 0.0
    overdraft: float = 0.0
    valid_s: float = 0.0
    level: float = 0.0
    granted: dict[int, float] = field(factory=dict)
    granted_tokens: float = 0.0
    prepaid: deque[tuple[float, float]] = field(factory=deque)
    asks_by_entry: dict[str, deque[tuple[float, float]]] = field(factory=dict)
    answers: dict[tuple[str, int], tuple[QuotaGrant, float]] = field(factory=dict)
    promised_until: float = float("-inf")
    accepted_at: float = float("-inf")
    accepted_from: str = ""
    may_be_unknown: bool = False
    claimed_at: float = float("-inf")


@define
class QuotaState:
    """What this entry knows of the quotas of teams.

    Attributes
    ----------
    is_configured : bool
        Whether a configuration was in force before.
    terms_by_team : dict
        Terms of the teams that have a quota, by the configuration in force.
    new_teams : set
        Teams that came with the latest change of a configuration that was in force before.
    accounts, charges : dict
        By team, and by request id.
    last_number : int
        Number of the latest ask; begins at random, so that numbers of earlier processes differ.
    silent_until : dict
        Until when an entry counts as silent, by name.
    entries, entries_changed_at : dict, float
        Addresses of the entries that share the roles, by name, and when these last changed.
    departed : dict
        Addresses of entries that left lately, by name.
    departed_at : dict
        When an entry left, by name.
    echoed_at : dict
        When an entry last said that it lists this one, by name.
    probed_at : float
        When the entries were last asked for that.
    roles_by_team : dict
        Names of the keeper, the secondary, and the entry that is the keeper without the first one.
    buckets, reserves : dict
        Buckets that this entry keeps, as the keeper and as the secondary, by team.
    lost : dict
        Entry that last claimed the bucket of a team from this one, and when.
    ignore_asks_until : float
        Asks that arrive before may have waited while this process was paused.
    """

    is_configured: bool = False
    terms_by_team: dict[str, QuotaTerms] = field(factory=dict)
    new_teams: set[str] = field(factory=set)
    accounts: dict[str, Account] = field(factory=dict)
    charges: dict[str, Charge] = field(factory=dict)
    last_number: int = 0
    silent_until: dict[str, float] = field(factory=dict)
    entries: dict[str, EntryAddress] = field(factory=dict)
    entries_changed_at: float = float("-inf")
    departed: dict[str, EntryAddress] = field(factory=dict)
    departed_at: dict[str, float] = field(factory=dict)
    echoed_at: dict[str, float] = field(factory=dict)
    probed_at: float = float("-inf")
    roles_by_team: dict[str, tuple[str, str, str]] = field(factory=dict)
    buckets: dict[str, TokenBucket] = field(factory=dict)
    reserves: dict[str, TokenBucket] = field(factory=dict)
    lost: dict[str, tuple[str, float]] = field(factory=dict)
    ignore_asks_until: float = float("-inf")
