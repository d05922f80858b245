"""The platform's list of VMs: a late hint of who lives and who leaves."""

import enum
import json
from typing import Any

import aiohttp
from attrs import frozen

from eelgrasslock.exceptions import EelgrassError
from eelgrasslock.http.client_session import read_body

_OK = 200


class VMListUnavailable(EelgrassError):
    """The VM list could not be read."""


class VMKind(enum.Enum):
    """What a VM is for."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class VMState(enum.Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen(kw_only=True)
class VM:
    """One VM, as the platform listed it some time ago.

    Attributes
    ----------
    name, address, domain : str
        Its name, its IP number (with a port, if given), its failure domain.
    kind : VMKind
        What it is for.
    endpoint : str
        The endpoint that runs on it, or empty.
    state : VMState
        Whether it leaves.
    """

    name: str
    address: str
    domain: str
    kind: VMKind
    endpoint: str
    state: VMState


class VMList:
    """Reads the VM list over HTTP.

    Parameters
    ----------
    url : str
        The service's base URL.
    session : aiohttp.ClientSession
        Used for all calls; stays the caller's to close.
    timeout : float
        Seconds for one call.
    """

    def __init__(
        self, url: str, session: aiohttp.ClientSession, timeout: float = 3.0
    ) -> None:
        self.url = url.rstrip("/")
        self.session = session
        self.timeout = aiohttp.ClientTimeout(total=timeout)

    async def fetch(self) -> list[VM]:
        """Return all VMs that the platform lists; unreadable ones are left out.

        Raises
        ------
        VMListUnavailable
            If the list can't be read.
        """
        try:
            async with self.session.get(
                f"{self.url}/vms", timeout=self.timeout
            ) as response:
                if response.status != _OK:
                    message = f"The VM list answered {response.status}."
                    raise VMListUnavailable(message)
                body = json.loads(await read_body(response))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise VMListUnavailable(f"No VM list: {error!r}.") from error
        if not isinstance(body, dict) or not isinstance(body.get("vms"), list):
            raise VMListUnavailable("The VM list's answer is not readable.")
        machines = (_parse(one) for one in body["vms"])
        return [machine for machine in machines if machine is not None]


def _parse(body: Any) -> VM | None:
    try:
        return VM(
            name=str(body["name"]),
            address=str(body["address"]),
            domain=str(body["domain"]),
            kind=VMKind(body["kind"]),
            endpoint=str(body.get("endpoint") or ""),
            state=VMState(body["state"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
