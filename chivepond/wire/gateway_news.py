"""What gateways tell each other of the store's content."""

import msgspec


class NewsRequest(msgspec.Struct, array_like=True):
    """Asks for what is newer than the asker knows."""

    #: The store's revision up to which the asker knows each kind.
    revision_by_kind: dict[str, int]
    #: Seconds to wait for news where there is none.
    wait_s: float


class NewsEntry(msgspec.Struct, array_like=True):
    """One object; ``spec`` as the store gave it."""

    name: str
    revision: int
    spec: bytes


class KindNews(msgspec.Struct, array_like=True):
    """What is newer of one kind."""

    #: The store's revision that this is true for.
    as_of: int
    #: Whether these are all objects of the kind, not just newer ones.
    is_whole: bool
    entries: list[NewsEntry]
    #: Names of objects that are gone.
    gone: list[str]


class NewsReply(msgspec.Struct, array_like=True):
    """News by kind; kinds without news are left out."""

    news_by_kind: dict[str, KindNews]
    #: Seconds since the store last confirmed what the gateway knows.
    age_s: float
