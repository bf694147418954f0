"""Status reports of the nodes of this data centre."""

from collections import Counter
from collections.abc import Callable

from chivepond.control import configuration, directory, node_report
from chivepond.settings import node_settings
from chivepond.wire import data_centre_status, heartbeat

#: Nodes report every few seconds; after three times that one is silent.
REPORT_LIFETIME_S = 15
_COUNT_INTERVAL_S = 2
#: State of an owned searcher that has received no request yet.
_UNUSED_STATE = 'unused'

_ReadStates = Callable[[], dict[str, str]]


class StatusBoard:
    """Counts this node's searchers and stores the reports of other nodes."""

    __slots__ = (
        '_configuration',
        '_own_count',
        '_counted_at',
        '_directory',
        '_report_by_node',
        '_settings',
        '_read_states',
    )

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        configured: configuration.Configuration,
        hosts: directory.Directory,
        read_states: _ReadStates,
    ) -> None:
        """Read the states of this node's searchers with ``read_states``."""
        self._settings = settings
        self._configuration = configured
        self._directory = hosts
        self._read_states = read_states
        self._report_by_node: dict[str, node_report.NodeReport] = {}
        self._own_count: dict[str, int] = {}
        self._counted_at = float('-inf')

    @property
    def revision(self) -> int:
        """The revision in force on this node."""
        return self._configuration.revision

    def own_searchers(self, now: float) -> dict[str, int]:
        """Return the number of own searchers by state, at most 2 s old."""
        if now - self._counted_at >= _COUNT_INTERVAL_S:
            self._own_count = self._count_own_searchers()
            self._counted_at = now
        return self._own_count

    def record_report(self, beat: heartbeat.Heartbeat, now: float) -> None:
        """Store the report in a heartbeat of a node of this data centre.

        Ignores heartbeats without a report or from other data centres.
        """
        if beat.searchers_by_state is None:
            return
        sender = self._directory.view.node_by_id.get(beat.node_id)
        if sender and sender.data_centre == self._settings.data_centre:
            self._report_by_node[beat.node_id] = node_report.NodeReport(
                beat.revision,
                beat.searchers_by_state,
                now,
            )

    def summary(
        self,
        now: float,
        written_at: float,
    ) -> data_centre_status.DataCentreStatus:
        """Return the status to write at ``written_at`` seconds since the epoch.

        Nodes without a report in the last ``REPORT_LIFETIME_S`` count as
        silent, so that a writer that was paused does not publish old reports
        as new ones. ``now`` is in seconds of the local clock.
        """
        own_id = self._settings.node_id
        local_data_centre = self._settings.data_centre
        live = self._directory.view.live_by_data_centre.get(
            local_data_centre, []
        )
        self._report_by_node = {
            node_id: report
            for node_id, report in self._report_by_node.items()
            if node_id in live and now - report.heard_at <= REPORT_LIFETIME_S
        }
        reports = self._report_by_node | {
            own_id: node_report.NodeReport(
                self._configuration.revision,
                self.own_searchers(now),
                now,
            ),
        }
        searchers: Counter[str] = Counter()
        for report in reports.values():
            searchers.update(report.searchers_by_state)
        revisions = Counter(report.revision for report in reports.values())
        return data_centre_status.DataCentreStatus(
            data_centre=local_data_centre,
            written_by=own_id,
            written_at=written_at,
            nodes=len(live),
            silent=len(live) - len(reports),
            nodes_by_revision=dict(sorted(revisions.items())),
            searchers_by_state=dict(sorted(searchers.items())),
            refusals=self._configuration.refusals,
        )

    def _count_own_searchers(self) -> dict[str, int]:
        view = self._directory.view
        state_by_searcher = self._read_states()
        return dict(
            Counter(
                state_by_searcher.get(searcher.host_id, _UNUSED_STATE)
                for searcher in view.searcher_by_id.values()
                if searcher.data_centre == self._settings.data_centre
                and view.owners(searcher)[0] == self._settings.node_id
            ),
        )
