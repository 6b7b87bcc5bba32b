"""The Unix socket at which a successor, the next process of a scheduler, connects to its predecessor.

This module creates and accepts connections; ``process_link`` exchanges messages on them.

The socket's file is in the scheduler's state folder and belongs to the process that serves clients. In a
hand-over, the successor renames its own socket file to the name of the predecessor's, and so replaces it,
before the predecessor exits. During a hand-over the file is therefore never missing, and never refers to a
process that has exited.
"""

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable
from pathlib import Path

log = logging.getLogger(__name__)

SOCKET_NAME = "robinhill.sock"
MAX_PATH_BYTES = 100  # maximum length of a Unix socket's path that is used; the system allows 107 bytes
CONNECT_TIMEOUT_S = 1.0


class HandoverSocket:
    """Connects to the predecessor's socket, and publishes this process's own socket for a successor.

    ``on_connection`` is called with the connection of each successor.
    """

    def __init__(self, folder: Path, on_connection: Callable[[socket.socket], None]) -> None:
        self.folder = folder
        self._on_connection = on_connection
        self._listener: socket.socket | None = None
        self._directory = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)

    @property
    def is_published(self) -> bool:
        """Whether this process listens for a successor."""
        return self._listener is not None

    def connect(self) -> socket.socket | None:
        """Connect to the predecessor.

        Returns None if there is no predecessor, or if the connection is not made within `CONNECT_TIMEOUT_S`.
        """
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.settimeout(CONNECT_TIMEOUT_S)
        try:
            sock.connect(self._path(SOCKET_NAME))
        except OSError as e:
            log.info("predecessor_not_found", extra={"why": str(e)})
            sock.close()
            return None
        return sock

    def publish(self) -> None:
        """Listen on a socket file named after this process, then rename it to `SOCKET_NAME`.

        After a failure, which is logged, no successor can connect to this process.
        """
        temporary_name = f"{SOCKET_NAME}.{os.getpid()}"
        with contextlib.suppress(FileNotFoundError):
            (self.folder / temporary_name).unlink()
        self.withdraw()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            sock.bind(self._path(temporary_name))
            sock.listen(1)
            (self.folder / temporary_name).replace(self.folder / SOCKET_NAME)
        except OSError as e:
            log.error("handover_unavailable", extra={"why": str(e)})
            sock.close()
            return
        self._listener = sock
        asyncio.get_running_loop().add_reader(sock, self._accept)

    def withdraw(self) -> None:
        """Stop listening. The socket's file stays, as it may already be the file of the successor."""
        if self._listener:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def close(self) -> None:
        """Stop listening and close the folder's descriptor; the socket can't be published again."""
        self.withdraw()
        os.close(self._directory)

    def _path(self, name: str) -> str:
        """The file's path or, if it is too long for a Unix socket, a path through the folder's descriptor."""
        path = str(self.folder / name)
        if len(path.encode()) <= MAX_PATH_BYTES:
            return path
        return f"/proc/self/fd/{self._directory}/{name}"

    def _accept(self) -> None:
        assert self._listener
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        self._on_connection(sock)
