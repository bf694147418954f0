"""The status of a data centre with its age."""

import dataclasses

from chivepond.wire import data_centre_status


@dataclasses.dataclass(slots=True, frozen=True)
class AgedStatus:
    """A status, and how many seconds ago it was written.

    ``is_late`` is set where its writer should have written since.
    """

    status: data_centre_status.DataCentreStatus
    age_s: float
    is_late: bool
