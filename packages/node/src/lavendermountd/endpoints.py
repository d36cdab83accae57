"""Registry of the endpoints that adapters add to a node.

:shapes: an endpoint serves one address until its task is cancelled.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from lavendermount_core.utils.registry import Registry

if TYPE_CHECKING:
    from lavendermountd.node import Node

ServeEndpoint = Callable[['Node', str, int], Awaitable[None]]
endpoints: Registry[str, ServeEndpoint] = Registry('endpoint')
