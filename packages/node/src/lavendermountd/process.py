"""Life cycle of the node process: start, signals and shutdown.

:errors: ``SupervisionError`` if the supervisor tree fails too often.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
from collections.abc import Callable
from functools import partial

from lavendermount_core.config.node import NodeSchema
from lavendermount_core.exceptions import ConfigurationError
from lavendermountd.exit_limit import limit_exit
from lavendermountd.heap import keep_large_blocks_out
from lavendermountd.node import Node
from lavendermountd.process_signals import ProcessSignals
from lavendermountd.shutdown import GracefulShutdown
from lavendermountd.supervision.supervisor import SupervisionError
from lavendermountd.supervisor_tree import NodeTree

log = logging.getLogger(__name__)

# Time within which the process exits once the node has stopped.
EXIT_TIMEOUT_S = 1.0

ReloadSettings = Callable[[], NodeSchema]


async def run_process(
    settings: NodeSchema,
    signals: ProcessSignals,
    reload_settings: ReloadSettings | None = None,
) -> None:
    """Run a node until it is asked to stop.

    :param settings: validated settings.
    :param signals: signals that the process receives.
    :param reload_settings: reads the settings again on SIGHUP; ``None`` if they
        are read only at startup.
    :raises SupervisionError: if the supervisor tree fails too often.
    """
    keep_large_blocks_out()
    node = Node(settings)
    signals.attach(
        {
            signal.SIGTERM: node.stop_requested.set,
            signal.SIGINT: node.stop_requested.set,
            signal.SIGHUP: partial(_handle_reload, node, reload_settings),
        }
    )
    tree = asyncio.create_task(NodeTree(node).root().run())
    stop = asyncio.create_task(node.stop_requested.wait())
    gc.freeze()
    log.info('node-started', extra={'incarnation': node.identity.incarnation})
    await asyncio.wait({tree, stop}, return_when=asyncio.FIRST_COMPLETED)
    has_failed = tree.done()
    # The tree listened for callers; without it, none can connect.
    await GracefulShutdown(node, 0 if has_failed else None).run()
    limit_exit(EXIT_TIMEOUT_S, SupervisionError.exit_code if has_failed else 0)
    await _close(node, tree)
    signals.ignore()
    if has_failed:
        tree.result()


async def _close(node: Node, tree: asyncio.Task[None]) -> None:
    """End the tasks of a stopped node and close its connections to other nodes."""
    tree.cancel()
    await asyncio.gather(tree, return_exceptions=True)
    node.links.close_all()
    await node.channels.close()


def _handle_reload(node: Node, reload_settings: ReloadSettings | None) -> None:
    """Apply changed settings; invalid settings change nothing."""
    if reload_settings is None:
        log.info(
            'settings-reload-ignored',
            extra={'cause': 'settings are read only at startup'},
        )
        return
    try:
        node.apply_settings(reload_settings())
    except ConfigurationError as error:
        log.warning('settings-refused', extra={'findings': str(error)})
