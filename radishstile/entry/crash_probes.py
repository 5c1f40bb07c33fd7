"""Asks upstreams whose run broke off whether they have crashed.

A crash shows when a connection is refused. With little traffic no request is
sent to the upstream before it is back, and the one that crashed it would not
be recognised.
"""

import asyncio

from radishstile.entry.admission import AdmissionController
from radishstile.entry.connection_pool import ConnectionPool
from radishstile.entry.node import EntryNode
from radishstile.errors import UpstreamRefusedError, UpstreamUnreachableError

# Time from a broken run to the probe, in seconds: more than an ending process
# takes to close its connections one after the other.
PROBE_DELAY_S = 0.1


class CrashProber:
    """Opens a connection to each upstream after a run on it broke off.

    A connection that an upstream accepts is kept for the next request.
    """

    __slots__ = ("_node", "_admission", "_connections", "_probed")

    def __init__(
        self,
        node: EntryNode,
        admission: AdmissionController,
        connections: ConnectionPool,
    ):
        self._node = node
        self._admission = admission
        self._connections = connections
        # Upstreams with a probe under way.
        self._probed: set[str] = set()

    async def run(self) -> None:
        """Probe until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                upstream_id = await self._admission.broken_upstreams.get()
                if upstream_id not in self._probed:
                    self._probed.add(upstream_id)
                    group.create_task(self._probe(upstream_id))

    async def _probe(self, upstream_id: str) -> None:
        try:
            await asyncio.sleep(PROBE_DELAY_S)
            upstream = self._node.registry.find_usable(upstream_id)
            if upstream is None:
                return
            connection = await self._connections.connect(upstream)
            self._connections.release(upstream, connection, None)
        except UpstreamRefusedError:
            self._admission.record_crash(upstream_id)
        except UpstreamUnreachableError:
            # It may be cut off, and go on with the request.
            return
        finally:
            self._probed.discard(upstream_id)
