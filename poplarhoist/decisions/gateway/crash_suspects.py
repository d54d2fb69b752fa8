"""Finds what crashes endpoints: the content of one request, or a part of the prompts of several.

A crash breaks off every request at an endpoint, of which one is the cause. What they have in common
over several crashes is suspected. A part of a prompt is cleared by a response that begins and goes
on with it after the crash, a content by a complete response. Of the parts of one prompt only those
are suspected that were sound the longest time ago, or never. Of two with the same weight the one
further back in the prompts is refused, as fewer requests share it. What is found explains the
crashes that it took part in, and nothing else is suspected for these.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

# Seconds for which a crash counts. What was found runs again after that time.
CRASH_MEMORY_S = 600.0
# Crashes after which a content is refused.
CRASHES_PER_CONTENT = 3
# Weight of a crash for a part of a prompt whose response had just begun, as a part crashes engines at
# the beginning of a response, and for a part of any other.
BEGINNING_WEIGHT = 5
OTHER_WEIGHT = 3
# Weight at which a part is refused: three crashes at the beginning of a response, or five others.
REFUSAL_WEIGHT = 15
# The same for a part with which responses went on within SOUND_MEMORY_S before its first crash.
SOUND_REFUSAL_WEIGHT = 25
SOUND_MEMORY_S = 30.0
# When a part counts as sound with which a response began, but not known to have gone on.
LONG_AGO = -1e9
# Seconds by which parts must differ in when they were sound, so that only the older one is suspected.
SOUND_DIFFERENCE_S = 1.0
# Seconds from the first crash of a part until it is refused. By then a sound part has begun another
# response that goes on, and other entries have told so.
OBSERVATION_S = 0.5
# Different contents under which a part must have been seen; a single content is refused by itself.
MIN_CONTENTS_PER_PART = 2


# A crash: name and incarnation of the endpoint.
Crash = tuple[str, int]


@frozen
class CrashReport:
    """A response that broke off when its endpoint crashed.

    Attributes
    ----------
    incarnation : int
        Which run of the endpoint crashed; it may start again under its name.
    content : str
        Digest of the request's method, path and body.
    parts : tuple
        Parts of the prompt that may be the cause; its last part belongs to one request or session.
    has_begun, has_delivered : bool
        Whether the head of the response had arrived, and whether a byte of its body had.
    """

    endpoint: str
    incarnation: int
    content: str
    parts: tuple[str, ...]
    has_begun: bool
    has_delivered: bool
    at: float

    @property
    def crash(self) -> Crash:
        """The crash that the report is about."""
        return self.endpoint, self.incarnation

    @property
    def weight(self) -> int:
        """How much the report says against the parts of its prompt."""
        is_beginning = self.has_begun and not self.has_delivered
        return BEGINNING_WEIGHT if is_beginning else OTHER_WEIGHT


@define
class Suspect:
    """What the crashes say of one part of prompts.

    Attributes
    ----------
    position : int
        Least number of parts before it in the prompts.
    """

    weight_by_crash: dict[Crash, int] = field(factory=dict)
    contents: set[str] = field(factory=set)
    first_crash_at: float = float("inf")
    position: int = 0

    @property
    def weight(self) -> int:
        """The weight of all crashes, each of which counts once."""
        return sum(self.weight_by_crash.values())

    def add(self, report: CrashReport) -> None:
        """Count a report; of several about one crash the heaviest counts."""
        known = self.weight_by_crash.get(report.crash, 0)
        self.weight_by_crash[report.crash] = max(known, report.weight)
        self.contents.add(report.content)
        self.first_crash_at = min(self.first_crash_at, report.at)


@frozen
class Verdict:
    """What is refused, and the parts of prompts that are suspected besides.

    Attributes
    ----------
    is_final : bool
        False if a part is refused soon unless it turns out to be sound.
    content_keys : frozenset
        The keys of the refused contents.
    """

    contents: frozenset[str] = field(default=frozenset(), converter=frozenset)
    parts: frozenset[str] = field(default=frozenset(), converter=frozenset)
    suspected_parts: frozenset[str] = field(default=frozenset(), converter=frozenset)
    is_final: bool = True
    content_keys: frozenset[str] = field(init=False)

    @content_keys.default
    def _find_content_keys(self) -> frozenset[str]:
        return frozenset(map(content_key, self.contents))


def content_key(content: str) -> str:
    """Return the key of a content among sound parts."""
    return f"content:{content}"


def suspect_key(kind: str, name: str) -> str:
    """Return the key under which a content or a part is known to be sound: a part's is its name."""
    return content_key(name) if kind == "content" else name


def suspected_parts(report: CrashReport, sound_at_by_part: Mapping[str, float]) -> list[str]:
    """Return the parts that a report throws suspicion on."""
    sound_at = {part: sound_at_by_part.get(part, float("-inf")) for part in report.parts}
    not_cleared = [part for part in report.parts if sound_at[part] < report.at]
    oldest = min((sound_at[part] for part in not_cleared), default=0.0)
    return [part for part in not_cleared if sound_at[part] <= oldest + SOUND_DIFFERENCE_S]


def find_verdict(
    reports: Iterable[CrashReport], sound_at_by_part: Mapping[str, float], at: float
) -> Verdict:
    """Return which contents and parts of prompts are refused.

    Parameters
    ----------
    sound_at_by_part : mapping
        When the latest response began that went on, by part of its prompt; and when the latest
        complete response began, by `content_key`.
    """
    remaining = list(reports)
    delivered = {part for report in remaining if report.has_delivered for part in report.parts}
    sound_at_by_part = dict.fromkeys(delivered, LONG_AGO) | dict(sound_at_by_part)
    contents: set[str] = set()
    parts: set[str] = set()
    while True:
        suspects_by_part = count_parts(remaining, sound_at_by_part)
        # Parts come first, as one part explains the crashes of several contents.
        part = heaviest_refused_part(suspects_by_part, sound_at_by_part)
        if part and not is_observed(suspects_by_part[part], sound_at_by_part, at):
            return Verdict(contents, parts, suspects_by_part, is_final=False)
        content = "" if part else heaviest_refused_content(remaining, sound_at_by_part)
        if not part and not content:
            return Verdict(contents, parts, suspects_by_part)
        if part:
            parts.add(part)
            explained = crashes_explained_by(suspects_by_part[part], remaining)
        else:
            contents.add(content)
            explained = {report.crash for report in remaining if report.content == content}
        remaining = [
            report
            for report in remaining
            if report.crash not in explained and part not in report.parts
        ]


def count_parts(
    reports: Iterable[CrashReport], sound_at_by_part: Mapping[str, float]
) -> dict[str, Suspect]:
    """Return what reports say of each part that they throw suspicion on."""
    suspects: dict[str, Suspect] = {}
    for report in reports:
        position_by_part = {part: at for at, part in reversed(list(enumerate(report.parts)))}
        for part in suspected_parts(report, sound_at_by_part):
            position = position_by_part[part]
            suspect = suspects.setdefault(part, Suspect(position=position))
            suspect.add(report)
            suspect.position = min(suspect.position, position)
    return suspects


def crashes_explained_by(suspect: Suspect, reports: Iterable[CrashReport]) -> set[Crash]:
    """Return the crashes of a suspect that no report lays on something else with more weight."""
    heaviest: dict[Crash, int] = {}
    for report in reports:
        heaviest[report.crash] = max(report.weight, heaviest.get(report.crash, 0))
    return {crash for crash, weight in suspect.weight_by_crash.items() if weight == heaviest[crash]}


def heaviest_refused_part(
    suspects: Mapping[str, Suspect], sound_at_by_part: Mapping[str, float]
) -> str:
    """Return the part of the greatest weight among those to refuse; empty if there is none."""
    rank_by_part = {}
    for part, suspect in suspects.items():
        silent_s = suspect.first_crash_at - sound_at_by_part.get(part, float("-inf"))
        limit = REFUSAL_WEIGHT if silent_s > SOUND_MEMORY_S else SOUND_REFUSAL_WEIGHT
        if suspect.weight >= limit and len(suspect.contents) >= MIN_CONTENTS_PER_PART:
            rank_by_part[part] = suspect.weight, suspect.position
    return max(rank_by_part, key=rank_by_part.__getitem__, default="")


def is_observed(suspect: Suspect, sound_at_by_part: Mapping[str, float], at: float) -> bool:
    """Return whether a part was watched for long enough that it would have been cleared if sound.

    If no response went on since its first crash, engines may fall for another reason. Then twice
    the weight is needed.
    """
    latest_sound_at = max(sound_at_by_part.values(), default=float("-inf"))
    has_control = latest_sound_at > suspect.first_crash_at
    if not has_control and suspect.weight < 2 * REFUSAL_WEIGHT:
        return False
    return at - suspect.first_crash_at >= OBSERVATION_S


def heaviest_refused_content(
    reports: Iterable[CrashReport], sound_at_by_part: Mapping[str, float]
) -> str:
    """Return the content of the greatest weight among those to refuse; empty if there is none."""
    crashes_by_content: dict[str, set[Crash]] = {}
    for report in reports:
        if report.at <= sound_at_by_part.get(content_key(report.content), float("-inf")):
            continue
        crashes_by_content.setdefault(report.content, set()).add(report.crash)
    count_by_content = {
        content: len(crashes)
        for content, crashes in crashes_by_content.items()
        if content and len(crashes) >= CRASHES_PER_CONTENT
    }
    return max(count_by_content, key=count_by_content.__getitem__, default="")
