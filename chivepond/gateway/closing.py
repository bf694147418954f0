"""What the context managers of a gateway have in common."""

import types
from typing import Self


class Closing:
    """Is closed when it is left, whatever went wrong inside."""

    __slots__ = ()

    def __enter__(self) -> Self:
        """Return it."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Close it."""
        self.close()

    def close(self) -> None:
        """End what it owns."""
        raise NotImplementedError
