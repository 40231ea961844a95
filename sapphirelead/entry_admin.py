"""Operator API of an entry under ``/v1/admin``, and ``/metrics``.

``/v1/admin`` requires the operators' bearer token, if one is configured.  Handlers delegate to the
ports of :mod:`sapphirelead.entry_ports`; errors are problem documents (RFC 9457) with the stable
code of the failure.
"""

import asyncio
import hmac
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from typing import Any, Final

import msgspec
from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field
from result import Err, Result

from sapphirelead.entry_admin_http import dump_document, problem, read_body, read_page
from sapphirelead.entry_admin_zones import ZonesApi
from sapphirelead.entry_ports import (
    Channel,
    ConfigService,
    InstanceView,
    JobService,
    Links,
    Members,
    Stamp,
)
from sapphirelead.errors import Code, Failure
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.model_config import ConfigDocument
from sapphirelead.model_job import Job
from sapphirelead.policy_rules import RuleSet
from sapphirelead.policy_rules_check import Problem, check_document
from sapphirelead.policy_rules_explain import explain, parse_situation
from sapphirelead.wire_messages import Drain

PREFIX: Final = "/v1/admin"
Handler = Callable[[web.Request], Awaitable[web.Response]]


@dataclass(frozen=True, slots=True)
class AdminPorts:
    """Dependencies of the operator API.

    :ivar token: required bearer token; empty disables the check.
    :ivar zones: availability zones of the deployment; if empty, zone names in rules are not
        checked.
    :ivar details: returns additional fields of ``/v1/admin/status``.
    """

    stamp: Stamp
    zone: str
    token: str
    jobs: JobService
    config: ConfigService
    members: Members
    links: Links
    metrics: Metrics
    details: Callable[[], dict[str, Any]] = dict
    zones: tuple[str, ...] = ()


class ApplyRequest(BaseModel):
    """Body of ``POST /v1/admin/config``."""

    model_config = ConfigDict(extra="forbid")

    document: dict[str, Any]
    base_version: int = Field(ge=0)
    author: str = Field(min_length=1, max_length=200)
    reason: str = Field(default="", max_length=2_000)


class ExplainRequest(BaseModel):
    """Body of ``POST /v1/admin/rules/explain``; a document replaces the rules in force."""

    model_config = ConfigDict(extra="forbid")

    situation: dict[str, Any]
    document: dict[str, Any] | None = None


def admin_app_routes(ports: AdminPorts) -> list[web.AbstractRouteDef]:
    """Return the routes of the operator API and of ``/metrics``."""
    api = AdminApi(ports)
    zones = ZonesApi(ports.config, ports.members, ports.zones)
    guarded: list[tuple[str, str, Handler]] = [
        ("GET", "/config", api.show_config),
        ("POST", "/config", api.apply_config),
        ("GET", "/config/status", api.config_status),
        ("GET", "/config/history", api.history),
        ("GET", "/audit", api.history),
        ("POST", "/rules/explain", api.explain_rules),
        ("GET", "/jobs", api.list_jobs),
        ("GET", "/instances", api.list_instances),
        ("POST", "/instances/{id}/drain", api.drain),
        ("GET", "/status", api.status),
        ("GET", "/zones", zones.list_zones),
        ("POST", "/zones/{zone}/evacuate", zones.evacuate),
        ("POST", "/zones/{zone}/restore", zones.restore),
    ]
    routes: list[web.AbstractRouteDef] = [
        web.route(method, PREFIX + path, api.require_token(handler))
        for method, path, handler in guarded
    ]
    return [*routes, web.get("/metrics", api.metrics)]


class AdminApi:
    """Handlers for the operator API."""

    _ports: AdminPorts

    def __init__(self, ports: AdminPorts) -> None:
        self._ports = ports

    def require_token(self, handler: Handler) -> Handler:
        """Wrap ``handler`` with the check of the operators' token."""

        async def guarded(request: web.Request) -> web.Response:
            if not self._authorized(request):
                # The token is not logged: it may differ from the valid one by a typo only.
                log_event("WARNING", "operator_refused", path=request.path, peer=request.remote)
                hint = "send the operators' token as `Authorization: Bearer ...`"
                return problem(Failure(Code.UNAUTHORIZED, "no valid operator token", hint))
            return await handler(request)

        return guarded

    async def show_config(self, request: web.Request) -> web.Response:
        """Return the configuration in force at this entry."""
        config = self._ports.config.current
        return web.json_response(
            {"version": config.version, "document": dump_document(config.document)}
        )

    async def apply_config(self, request: web.Request) -> web.Response:
        """Check and commit a configuration change."""
        body = await read_body(request, ApplyRequest)
        if isinstance(body, Err):
            return problem(body.err_value)
        change = body.ok_value
        checked = await _check(change.document, self._ports.zones)
        if isinstance(checked, Err):
            return problem(
                Failure(Code.CONFIG_INVALID, "the document is invalid", "fix the listed problems"),
                problems=[asdict(found) for found in checked.err_value],
            )
        applied = await self._ports.config.apply(
            change.document, change.base_version, change.author, change.reason
        )
        if isinstance(applied, Err):
            return problem(applied.err_value, version=self._ports.config.current.version)
        return web.json_response({"version": applied.ok_value.version})

    async def config_status(self, request: web.Request) -> web.Response:
        """Return the configuration version of each live process."""
        members = [asdict(member) for member in self._ports.config.status()]
        return web.json_response(
            {"version": self._ports.config.current.version, "processes": members}
        )

    async def history(self, request: web.Request) -> web.Response:
        """Return the audit trail, newest first."""
        page = read_page(request)
        if isinstance(page, Err):
            return problem(page.err_value)
        limit, after = page.ok_value
        if after and not after.isdecimal():
            return problem(Failure(Code.BAD_REQUEST, "after: must be a version number"))
        found = await self._ports.config.history(int(after or 0), limit)
        if isinstance(found, Err):
            return problem(found.err_value)
        return web.json_response({"records": [asdict(record) for record in found.ok_value]})

    async def explain_rules(self, request: web.Request) -> web.Response:
        """Explain which rule matches a situation, and why earlier ones do not."""
        body = await read_body(request, ExplainRequest)
        if isinstance(body, Err):
            return problem(body.err_value)
        situation = parse_situation(body.ok_value.situation)
        if isinstance(situation, Err):
            return problem(situation.err_value)
        document = self._ports.config.current.document
        if body.ok_value.document is not None:
            checked = await _check(body.ok_value.document, self._ports.zones)
            if isinstance(checked, Err):
                problems = [asdict(found) for found in checked.err_value]
                return problem(
                    Failure(Code.CONFIG_INVALID, "the document is invalid"), problems=problems
                )
            document = checked.ok_value
        explained = explain(RuleSet.from_config(document), situation.ok_value)
        return web.json_response(explained.as_dict())

    async def list_jobs(self, request: web.Request) -> web.Response:
        """List open jobs, or ended ones with ``ended=true``."""
        page = read_page(request)
        if isinstance(page, Err):
            return problem(page.err_value)
        limit, after = page.ok_value
        ended = request.query.get("ended", "") == "true"
        found = await self._ports.jobs.list_jobs(ended, after, limit)
        if isinstance(found, Err):
            return problem(found.err_value)
        return web.json_response({"jobs": [dump_job(job) for job in found.ok_value]})

    async def list_instances(self, request: web.Request) -> web.Response:
        """List the instances known to this entry."""
        live = {view.id for view in self._ports.members.live()}
        views = [dump_instance(view, view.id in live) for view in self._ports.members.all()]
        return web.json_response({"instances": sorted(views, key=lambda view: str(view["id"]))})

    async def drain(self, request: web.Request) -> web.Response:
        """Send a drain request to an instance's agent."""
        ports = self._ports
        name = request.match_info["id"]
        if ports.members.get(name) is None:
            hint = "see `sapphirelead instances list`"
            return problem(Failure(Code.NOT_FOUND, f"no instance {name!r}", hint))
        reason = request.query.get("reason", "")
        message = Drain(
            **ports.stamp.head(ports.config.current.version),
            reason=reason,
        )
        if not await ports.links.send(name, Channel.CONTROL, message):
            hint = "its agent is not connected to this entry; retry, or use another entry"
            return problem(Failure(Code.NO_INSTANCE, f"{name!r} could not be notified", hint))
        log_event("INFO", "drain_requested", instance=name, reason=reason)
        return web.json_response({"instance": name, "draining": True}, status=202)

    async def status(self, request: web.Request) -> web.Response:
        """Return a summary of this entry's state."""
        ports = self._ports
        instances = ports.members.all()
        live = ports.members.live()
        return web.json_response(
            {
                "entry": ports.stamp.sender,
                "incarnation": ports.stamp.incarnation,
                "zone": ports.zone,
                "config_version": ports.config.current.version,
                "evacuated_zones": sorted(ports.config.current.document.evacuated_zones),
                "instances": len(instances),
                "live_instances": len(live),
                "tasks": sum(view.tasks for view in live),
                "slots_used": sum(view.slots_used for view in live),
                "slots": sum(view.slots for view in live),
                **ports.details(),
            }
        )

    async def metrics(self, request: web.Request) -> web.Response:
        """Return the metrics in the Prometheus text format."""
        return web.Response(
            body=self._ports.metrics.render(),
            headers={"Content-Type": "text/plain; version=0.0.4; charset=utf-8"},
        )

    def _authorized(self, request: web.Request) -> bool:
        if not self._ports.token:
            return True
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        # compare_digest raises TypeError for non-ASCII strings, so bytes are compared.
        given = token.strip().encode("utf-8", "replace")
        expected = self._ports.token.encode()
        return scheme.lower() == "bearer" and hmac.compare_digest(given, expected)


async def _check(
    document: dict[str, Any], zones: tuple[str, ...]
) -> Result[ConfigDocument, tuple[Problem, ...]]:
    # In a thread: checking a large document would block the event loop.
    return await asyncio.to_thread(check_document, document, zones)


def dump_job(job: Job) -> dict[str, Any]:
    """Serialize a job for operators, without the caller's input and result."""
    value: dict[str, Any] = msgspec.to_builtins(job)
    value["spec"].pop("input", None)
    value.pop("result", None)
    return value


def dump_instance(view: InstanceView, live: bool) -> dict[str, Any]:
    """Serialize an instance for operators."""
    value: dict[str, Any] = msgspec.to_builtins(view)
    value.pop("heard_at", None)
    value["live"] = live
    return value
