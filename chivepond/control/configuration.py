"""The configuration in force on this node."""

import result

from chivepond.control import accepted_document, object_cache
from chivepond.observe import events, journal
from chivepond.platform import kinds
from chivepond.settings import capacity_service, deployment, search_service
from chivepond.wire import codec, notice

_DEFAULT_CAPACITY = capacity_service.CapacityService()


class Configuration:
    """The highest accepted revision that this node has seen."""

    __slots__ = ('document', 'revision')

    def __init__(self, cache: object_cache.ObjectCache) -> None:
        """Follow the accepted document in ``cache``."""
        self.revision = 0
        self.document = deployment.Deployment()
        cache.listen(self._on_notice)

    def service(self, name: str) -> search_service.SearchService | None:
        """Return what the document says of a service, if it does."""
        return self.document.search.by_service.get(name)

    def capacity(self, name: str) -> capacity_service.CapacityService:
        """Return the sizes of a service's searchers, or the defaults."""
        by_service = self.document.capacity.by_service
        return by_service.get(name, _DEFAULT_CAPACITY)

    def _on_notice(self, told: notice.Notice) -> None:
        if told.key != kinds.DEPLOYMENT_ACCEPTED:
            return
        match codec.decode(accepted_document.AcceptedDocument, told.body):
            case result.Ok(accepted) if accepted.revision > self.revision:
                self.revision = accepted.revision
                self.document = accepted.document
                journal.log(
                    events.CONFIGURATION_IN_FORCE,
                    revision=accepted.revision,
                )
            case result.Err(wrong):
                journal.log(
                    events.CONFIGURATION_UNREADABLE,
                    version=told.version,
                    why=wrong.message,
                )
