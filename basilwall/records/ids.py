"""Identifiers, each with a type of its own.

A plain `str` would let an instance name stand where a searcher address is
meant; the checker tells these apart at no cost at run time.
"""

from typing import NewType

ServiceName = NewType('ServiceName', str)
InstanceName = NewType('InstanceName', str)
ClassName = NewType('ClassName', str)
SnapshotId = NewType('SnapshotId', str)
RequestId = NewType('RequestId', str)
AttemptId = NewType('AttemptId', str)
Zone = NewType('Zone', str)
Region = NewType('Region', str)

#: `host:port`, the host as an IP number.
SearcherAddress = NewType('SearcherAddress', str)
VmAddress = NewType('VmAddress', str)

#: Drawn at random at start, so that two processes at one address differ.
Incarnation = NewType('Incarnation', str)

#: A hash over the content of a request, equal for every resend of it.
Fingerprint = NewType('Fingerprint', str)

#: One loss of one searcher under one content, named by the VM that saw it.
IncidentId = NewType('IncidentId', str)

#: Assigned by the platform; grows with each change of any key.
Revision = NewType('Revision', int)

#: A name of a route, unique within one table.
RouteName = NewType('RouteName', str)
#: One life of a searcher; an address is reused, this is not.
SearcherId = NewType('SearcherId', str)
