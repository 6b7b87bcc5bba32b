"""The future of a request's final answer, which also tells whether its client is still connected."""

import asyncio
from collections.abc import Callable

from robinhill.protocol import Answer


class ClientReply(asyncio.Future[Answer]):
    """Set to the final answer, or cancelled once the client's disconnect was noticed.

    ``client_has_left`` looks for the end of the client's connection behind data that was not read yet.
    """

    client_has_left: Callable[[], bool] = staticmethod(lambda: False)
