"""A node of an embedded deployment, which can be aborted."""

from chivepond import node
from chivepond.entry import peers
from chivepond.settings import node_settings
from chivepond.standins import delayed_peers, deployment_plan
from chivepond.transport import message_signer


class EmbeddedNode(node.Node):
    """A node whose peers are reached over the links of a plan."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        plan: deployment_plan.DeploymentPlan,
    ) -> None:
        """Build the node without binding a socket or sending a message."""
        self._plan = plan
        super().__init__(settings)

    def abort(self) -> None:
        """Simulate a killed process: reset connections without notice.

        Requests already sent to searchers continue there. Unlike those of a
        killed process, the node's queues still drain.
        """
        for loop in self._loops:
            loop.cancel()
        for listening_server in (
            self.caller_server,
            self.peer_server,
            self.operator_server,
        ):
            listening_server.abort()

    def _make_peers(self) -> peers.Peers:
        return delayed_peers.DelayedPeers(
            self.directory,
            message_signer.of_settings(self.settings),
            self.settings.data_centre,
            self._plan,
        )
