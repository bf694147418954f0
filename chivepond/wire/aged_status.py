"""The status of a data centre and its age."""

import dataclasses

from chivepond.wire import data_centre_status


@dataclasses.dataclass(slots=True, frozen=True)
class AgedStatus:
    """A status that was written ``age_s`` seconds ago.

    ``is_late`` is set when a newer status is overdue.
    """

    status: data_centre_status.DataCentreStatus
    age_s: float
    is_late: bool
