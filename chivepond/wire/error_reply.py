"""The body of every reply that is an error."""

import dataclasses

from chivepond.wire import error_body


@dataclasses.dataclass(slots=True, frozen=True)
class ErrorReply:
    """An error under the one key that callers look for."""

    error: error_body.ErrorBody
