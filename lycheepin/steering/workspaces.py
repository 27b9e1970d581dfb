"""Workspaces of a configuration: which keys they hold, and the rules for their requests.

Load addressed: thousands of workspaces whose keys come and go with each version, while requests
with withdrawn, unknown and malformed keys arrive all the time.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from lycheepin.names import RegionName, WorkspaceName

__all__ = ["Workspace", "WorkspaceKeys", "intersect_regions", "is_key"]

# Scheme of the credentials that carry a key, in lower case.
_SCHEME = b"bearer"
# Names that a header can carry to the endpoints.
_NAME = re.compile(r"[!-~]{1,200}")


@dataclass(frozen=True)
class Workspace:
    """One workspace of the deployment.

    Its `priority` takes precedence over the priority of a route; None if it has none of its own.
    All daemons together may run `rate_per_s` of its requests per second, and `burst` requests
    beyond; a rate of 0 means no limit. `allowed_regions` is empty when any region may serve it.
    """

    name: WorkspaceName
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: frozenset[RegionName] = frozenset()


@dataclass(frozen=True)
class WorkspaceKeys:
    """The workspaces of one version of the configuration, by name and by key.

    A key that several workspaces hold identifies none of them. Without any workspace, every key is
    unknown.
    """

    by_name: Mapping[WorkspaceName, Workspace]
    _by_key: Mapping[bytes, Workspace] = field(repr=False)

    @classmethod
    def from_keys(cls, keys: Iterable[tuple[Workspace, Iterable[str]]]) -> WorkspaceKeys:
        """Returns the workspaces with their keys; empty keys are left out.

        Raises ValueError for a name that no header can carry.
        """
        by_name: dict[WorkspaceName, Workspace] = {}
        by_key: dict[bytes, Workspace] = {}
        shared: set[bytes] = set()
        for workspace, own_keys in keys:
            if not _NAME.fullmatch(workspace.name):
                raise ValueError("a workspace has a name that no header can carry")
            by_name[workspace.name] = workspace
            for text in own_keys:
                key = text.encode(errors="surrogatepass")
                if by_key.setdefault(key, workspace) is not workspace:
                    shared.add(key)
        return cls(by_name, {key: w for key, w in by_key.items() if key and key not in shared})

    def identify(self, credentials: Sequence[bytes]) -> Workspace | None:
        """Returns the workspace that the credentials of a request belong to, or None.

        `credentials` are the values of all its `Authorization` headers; more than one identify
        nobody.
        """
        if len(credentials) != 1:
            return None
        scheme, _, key = credentials[0].strip().partition(b" ")
        if scheme.lower() != _SCHEME:
            return None
        return self._by_key.get(key.strip())


def is_key(credentials: bytes) -> bool:
    """Returns whether the value of an `Authorization` header carries a key of a workspace."""
    return credentials.strip().partition(b" ")[0].lower() == _SCHEME


def intersect_regions(
    first: frozenset[RegionName], second: frozenset[RegionName]
) -> frozenset[RegionName] | None:
    """Returns the regions that two sets of allowed regions have in common; an empty set allows all.

    Returns None if no region is allowed by both.
    """
    if not first or not second:
        return first or second
    return first & second or None
