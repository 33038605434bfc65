"""Identifier types.

Each kind of identifier is a `NewType`, so that the type checker rejects, for
example, an instance name in place of a searcher address. There is no cost at
run time.
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

#: `host:port` with a numeric IP address.
SearcherAddress = NewType('SearcherAddress', str)
VmAddress = NewType('VmAddress', str)

#: Drawn at random when a process starts, to distinguish successive processes
#: at one address.
Incarnation = NewType('Incarnation', str)

#: Hash of the content of a request, equal for every retry of it.
Fingerprint = NewType('Fingerprint', str)

#: The loss of one searcher while it ran one content, named by the VM that
#: observed it.
IncidentId = NewType('IncidentId', str)

#: One process of a searcher: its id and when it started.
ProcessId = NewType('ProcessId', str)

#: Name of a route, unique within one table.
RouteName = NewType('RouteName', str)
NO_ROUTE = RouteName('')
#: Identifies one searcher; addresses are reused, this is not.
SearcherId = NewType('SearcherId', str)
