"""The life of the node's process.

:errors: ``SupervisionError`` when the tree gave up.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import signal

from lavendermount_core.config.node import NodeSchema
from lavendermountd.node import Node
from lavendermountd.tree import NodeTree

log = logging.getLogger(__name__)


async def run_process(settings: NodeSchema) -> None:
    """Run a node until it is told to stop.

    :param settings: validated settings.
    :raises SupervisionError: if the tree gave up.
    """
    node = Node(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop_requested.set)
    tree = asyncio.create_task(NodeTree(node).root().run())
    stop = asyncio.create_task(node.stop_requested.wait())
    gc.freeze()
    log.info('node-started', extra={'incarnation': node.identity.incarnation})
    await asyncio.wait({tree, stop}, return_when=asyncio.FIRST_COMPLETED)
    if tree.done():
        tree.result()
    await node.stop()
    tree.cancel()
    await asyncio.gather(tree, return_exceptions=True)
    node.links.close_all()
    await node.channels.close()
