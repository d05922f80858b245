"""The stand-in for the platform's VM list."""

from typing import Any

from aiohttp import web
from attrs import define, field

from eelgrasslock_standins.control import add_control
from eelgrasslock_standins.serving import ScaledClock

_DEFAULT_LAG_SECONDS = 3.0


@define(kw_only=True)
class VMFaults:
    """What can be switched on the VM list.

    Attributes
    ----------
    lag_seconds : float
        How late a change shows.
    outage : bool
        Everything answers 503.
    slow_seconds : float
        Added to each call.
    """

    lag_seconds: float = _DEFAULT_LAG_SECONDS
    outage: bool = False
    slow_seconds: float = 0.0


@define
class Snapshot:
    """The true list from one moment on."""

    since: float
    vms: list[dict[str, Any]] = field(factory=list)


class VMListStandin:
    """A list of VMs that tells of changes late.

    Parameters
    ----------
    clock : ScaledClock
        Times the lag.
    faults : VMFaults
        The switches.
    vms : list of dict
        The first list, shown without lag.
    """

    def __init__(
        self, clock: ScaledClock, faults: VMFaults, vms: list[dict[str, Any]]
    ) -> None:
        self.clock = clock
        self.faults = faults
        self.history = [Snapshot(float("-inf"), vms)]

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/vms", self._show)
        app.router.add_put("/vms", self._replace)
        app.router.add_put("/vms/{name}", self._change)
        app.router.add_delete("/vms/{name}", self._remove)
        add_control(app, self.faults)
        return app

    def visible(self) -> list[dict[str, Any]]:
        """Return the list as it was one lag ago."""
        moment = self.clock.monotonic() - self.faults.lag_seconds
        past = [one for one in self.history if one.since <= moment]
        self.history = [past[-1], *self.history[len(past) :]]
        return past[-1].vms

    async def _show(self, request: web.Request) -> web.Response:
        await self.clock.sleep(self.faults.slow_seconds)
        if self.faults.outage:
            return web.json_response({"error": "outage"}, status=503)
        return web.json_response({"vms": self.visible()})

    async def _replace(self, request: web.Request) -> web.Response:
        return self._set((await request.json())["vms"])

    async def _change(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        changes = await request.json()
        vms = self.history[-1].vms
        old = next((vm for vm in vms if vm["name"] == name), {"name": name})
        others = [vm for vm in vms if vm["name"] != name]
        return self._set([*others, {**old, **changes}])

    async def _remove(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        return self._set([vm for vm in self.history[-1].vms if vm["name"] != name])

    def _set(self, vms: list[dict[str, Any]]) -> web.Response:
        self.history.append(Snapshot(self.clock.monotonic(), vms))
        return web.json_response({"vms": vms})
