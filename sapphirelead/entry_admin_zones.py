"""Operator API for the evacuation of availability zones, under ``/v1/admin/zones``.

The evacuated zones are part of the configuration document, so an evacuation has a version and a
record in the audit trail, and reaches every process as any other change does.
"""

from typing import Annotated, Any, Final

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field
from result import Err, Ok, Result

from sapphirelead.entry_admin_http import dump_document, problem, read_body
from sapphirelead.entry_ports import ConfigService, Members
from sapphirelead.errors import Code, Failure
from sapphirelead.logs import log_event
from sapphirelead.sched_zones import is_zone_name

MAX_TRIES: Final = 3
"""Tries of a change against others that are applied at the same time."""

SECTION: Final = "evacuated_zones"


class ZoneRequest(BaseModel):
    """Body of a request that evacuates or restores a zone."""

    model_config = ConfigDict(extra="forbid")

    author: Annotated[str, Field(min_length=1, max_length=200)]
    reason: Annotated[str, Field(max_length=2_000)] = ""


class ZonesApi:
    """Handlers of ``/v1/admin/zones``."""

    _config: ConfigService
    _members: Members
    _zones: tuple[str, ...]

    def __init__(
        self, config: ConfigService, members: Members, zones: tuple[str, ...] = ()
    ) -> None:
        """Create the handlers of one entry.

        :param zones: availability zones of the deployment; if empty, every name is accepted.
        """
        self._config = config
        self._members = members
        self._zones = zones

    async def list_zones(self, request: web.Request) -> web.Response:
        """List the zones of the deployment, and those that are evacuated."""
        evacuated = self._config.current.document.evacuated_zones
        instances = self._members.all()
        names = {*self._zones, *(view.zone for view in instances), *evacuated}
        rows = [
            {
                "zone": name,
                "evacuated": name in evacuated,
                "reason": evacuated[name].reason if name in evacuated else "",
                "instances": sum(1 for view in instances if view.zone == name),
            }
            for name in sorted(names)
        ]
        return web.json_response({"zones": rows})

    async def evacuate(self, request: web.Request) -> web.Response:
        """Evacuate a zone; repeating it is no error."""
        return await self._change(request, evacuated=True)

    async def restore(self, request: web.Request) -> web.Response:
        """Use a zone again; repeating it is no error."""
        return await self._change(request, evacuated=False)

    async def _change(self, request: web.Request, evacuated: bool) -> web.Response:
        zone = request.match_info["zone"]
        body = await read_body(request, ZoneRequest)
        if isinstance(body, Err):
            return problem(body.err_value)
        # A zone that does not exist can be restored, but not evacuated.
        if evacuated and not (is_zone_name(zone) and (not self._zones or zone in self._zones)):
            hint = "see `sapphirelead zones list`"
            return problem(Failure(Code.NOT_FOUND, f"no availability zone {zone!r}", hint))
        applied = await self._apply(zone, evacuated, body.ok_value)
        if isinstance(applied, Err):
            return problem(applied.err_value, version=self._config.current.version)
        log_event(
            "INFO", "zone_changed", zone=zone, evacuated=evacuated, author=body.ok_value.author
        )
        return web.json_response(
            {"zone": zone, "evacuated": evacuated, "version": applied.ok_value}
        )

    async def _apply(self, zone: str, evacuated: bool, change: ZoneRequest) -> Result[int, Failure]:
        """Commit the change; return the version that contains it."""
        applied: Result[int, Failure] = Ok(self._config.current.version)
        for _ in range(MAX_TRIES):
            current = self._config.current
            if evacuated is (zone in current.document.evacuated_zones):
                return Ok(current.version)
            document = dump_document(current.document)
            zones: dict[str, Any] = dict(document.get(SECTION, {}))
            zones.pop(zone, None)
            if evacuated:
                zones[zone] = {"reason": change.reason}
            document[SECTION] = zones
            found = await self._config.apply(
                document, current.version, change.author, change.reason
            )
            applied = found.map(lambda config: config.version)
            if isinstance(found, Ok) or found.err_value.code is not Code.CONFIG_CONFLICT:
                break
        return applied
