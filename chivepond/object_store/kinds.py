"""Kinds and names of the objects on the platform."""

#: The deployment document as operators last edited it.
DEPLOYMENT_DRAFT = 'deployment/draft'

#: The deployment document in force.
DEPLOYMENT_ACCEPTED = 'deployment/accepted'

#: The refused sections of the draft, with the reasons.
DEPLOYMENT_REFUSED = 'deployment/refused'

#: The list of hosts; only the platform writes it.
HOSTS = 'hosts/all'

#: Kinds that are replicated to every node.
KEPT = ('deployment', 'hosts', 'index')

CLAIM = 'claim'

#: Issue time up to which claims may have been deleted.
CLAIM_FLOOR = 'claim-floor'
INDEX = 'index'
STATUS = 'status'
