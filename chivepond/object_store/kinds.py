"""Kinds and names of the objects on the platform."""

#: The document as operators last wrote it.
DEPLOYMENT_DRAFT = 'deployment/draft'

#: The document in force.
DEPLOYMENT_ACCEPTED = 'deployment/accepted'

#: What was refused, and why.
DEPLOYMENT_REFUSED = 'deployment/refused'

#: The list of hosts, written by the platform alone.
HOSTS = 'hosts/all'

#: Kinds that every node keeps a copy of.
KEPT = ('deployment', 'hosts', 'index')

CLAIM = 'claim'

#: Up to which time of issue claims may have been swept.
CLAIM_FLOOR = 'claim-floor'
INDEX = 'index'
STATUS = 'status'
