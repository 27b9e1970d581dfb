"""Identification of callers by the keys of their workspaces, which stay at this daemon."""

from __future__ import annotations

from lycheepin.errors import ErrorKind
from lycheepin.gateway.dialect import HeaderNames
from lycheepin.steering.routes import Route
from lycheepin.steering.workspaces import Workspace, WorkspaceKeys, is_key
from lycheepin.transport.incoming import IncomingRequest

__all__ = ["identify_caller"]

_CREDENTIALS = b"authorization"


def identify_caller(
    request: IncomingRequest, route: Route, workspaces: WorkspaceKeys, header_names: HeaderNames
) -> Workspace | ErrorKind | None:
    """Returns the workspace of a request's caller, or the error for a key that belongs to none.

    On a public route the key is optional, and an unknown one identifies nobody: returns None then.
    The keys are removed from the request's headers, and the header with the name of the workspace
    is set, whatever the caller sent in it.
    """
    credentials = [value for name, value in request.headers if name.lower() == _CREDENTIALS]
    workspace = workspaces.identify(credentials)
    if workspace is None and not route.is_public:
        return ErrorKind.UNKNOWN_KEY
    request.headers = [
        (name, value)
        for name, value in request.headers
        if name.lower() != header_names.workspace
        and not (name.lower() == _CREDENTIALS and (not route.is_public or is_key(value)))
    ]
    if workspace is not None:
        request.headers.append((header_names.workspace, workspace.name.encode()))
    return workspace
