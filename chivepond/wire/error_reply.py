"""The body of every error reply."""

import dataclasses

from chivepond.wire import error_body


@dataclasses.dataclass(slots=True, frozen=True)
class ErrorReply:
    """A JSON object with the error under the key ``error``."""

    error: error_body.ErrorBody
