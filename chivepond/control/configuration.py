"""The configuration that is in force on this node."""

import result

from chivepond.control import (
    accepted_document,
    object_cache,
    refused_document,
)
from chivepond.observe import events, journal
from chivepond.object_store import kinds
from chivepond.settings import capacity_service, deployment, search_service
from chivepond.wire import codec, notice, section_refusal

_DEFAULT_CAPACITY = capacity_service.CapacityService()


class Configuration:
    """The accepted document of the highest revision received so far."""

    __slots__ = ('_decided_revision', 'document', 'refusals', 'revision')

    def __init__(self, cache: object_cache.ObjectCache) -> None:
        """Subscribe to accepted and refused documents in ``cache``.

        ``refusals`` are those of the newest draft that was decided.
        """
        self._decided_revision = 0
        self.revision = 0
        self.refusals: list[section_refusal.SectionRefusal] = []
        self.document = deployment.Deployment()
        cache.listen(self._on_notice)

    def service(self, name: str) -> search_service.SearchService | None:
        """Return the search settings of a service, None if it has none."""
        return self.document.search.by_service.get(name)

    def capacity(self, name: str) -> capacity_service.CapacityService:
        """Return the capacity settings of a service, or the defaults."""
        by_service = self.document.capacity.by_service
        return by_service.get(name, _DEFAULT_CAPACITY)

    def _on_notice(self, update: notice.Notice) -> None:
        match update.key:
            case kinds.DEPLOYMENT_ACCEPTED:
                self._on_accepted(update)
            case kinds.DEPLOYMENT_REFUSED:
                self._on_refused(update)

    def _on_accepted(self, update: notice.Notice) -> None:
        match codec.decode(accepted_document.AcceptedDocument, update.body):
            case result.Ok(accepted) if accepted.revision > self.revision:
                self.revision = accepted.revision
                self.document = accepted.document
                self._set_refusals(accepted.revision, accepted.refusals)
                journal.log(
                    events.CONFIGURATION_IN_FORCE,
                    revision=accepted.revision,
                )
            case result.Err(error):
                journal.log(
                    events.CONFIGURATION_UNREADABLE,
                    version=update.version,
                    why=error.message,
                )

    def _on_refused(self, update: notice.Notice) -> None:
        match codec.decode(refused_document.RefusedDocument, update.body):
            case result.Ok(refused):
                self._set_refusals(refused.revision, refused.refusals)

    def _set_refusals(
        self,
        revision: int,
        refusals: list[section_refusal.SectionRefusal],
    ) -> None:
        if revision > self._decided_revision:
            self._decided_revision = revision
            self.refusals = refusals
