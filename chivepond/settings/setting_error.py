"""The error for settings that decode but are invalid or inconsistent."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class SettingError:
    """The name of the setting, its fault and the remedy."""

    setting: str
    reason: str
    remedy: str
