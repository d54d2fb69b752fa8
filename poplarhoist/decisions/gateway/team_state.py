"""State of the decisions about teams; only the reducer changes it."""

from attrs import define, field

# Teams that have a label value of their own in metrics. Each value costs memory for good.
MAX_TEAM_LABELS = 32
OTHER_TEAMS_LABEL = "other"


@define
class TeamState:
    """What this entry keeps of teams beside the configuration.

    Attributes
    ----------
    labelled : set
        Names of the teams with a label value of their own in metrics; the first ones that needed one.
    """

    labelled: set[str] = field(factory=set)

    def label(self, name: str) -> str:
        """Return the label value of a team in metrics."""
        if name not in self.labelled:
            if len(self.labelled) >= MAX_TEAM_LABELS:
                return OTHER_TEAMS_LABEL
            self.labelled.add(name)
        return name
