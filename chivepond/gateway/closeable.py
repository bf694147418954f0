"""The base class of context managers that release their resources."""

import types
from typing import Self


class Closeable:
    """A context manager that calls ``close`` on exit, also after an error."""

    __slots__ = ()

    def __enter__(self) -> Self:
        """Return the object itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Call ``close``."""
        self.close()

    def close(self) -> None:
        """Release the resources; subclasses implement it."""
        raise NotImplementedError
