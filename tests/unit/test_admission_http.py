"""Refusals for lack of capacity over the caller API: status, code, return time and ticket."""

from sapphirelead.errors import Code
from sapphirelead.fleet_http import TICKET_HEADER
from sapphirelead.node_messages import CallKind, Reply, ReplyKind
from tests.unit.test_entry_http import send_request
from tests.unit.test_fleet_http import JOB, STEP, ApiHarness, FakeFleet, steps


class TicketFleet(FakeFleet):
    """Fleet entry that records the tickets of submissions."""

    def __init__(self) -> None:
        super().__init__()
        self.tickets: list[str] = []

    async def call(
        self,
        kind: CallKind,
        queue: str,
        job_id: str,
        job: bytes,
        deadline_s: float,
        ticket: str = "",
    ) -> Reply:
        self.tickets.append(ticket)
        return await super().call(kind, queue, job_id, job, deadline_s)


async def test_a_refused_caller_gets_a_ticket_and_shows_it_when_it_returns() -> None:
    """Guards against a place that is given and cannot be used."""
    harness = ApiHarness()
    fleet = TicketFleet()
    harness.routes._entry = fleet  # type: ignore[assignment]
    fleet.reply = Reply(
        1, ReplyKind.NOT_RUN, retry_after_s=3.2, detail="late", code=Code.TOO_LATE, ticket="1.2.3.x"
    )
    async with harness.running() as http:
        status, body, headers = await send_request(http, "POST", JOB, **steps(STEP))
        assert (status, body["code"], body["outcome"]) == (503, "SL-308", "not_run")
        assert (headers["Retry-After"], headers[TICKET_HEADER]) == ("4", "1.2.3.x")
        for ticket in ("1.2.3.x", "x" * 300):
            shown = {TICKET_HEADER: ticket}
            await send_request(http, "POST", JOB, headers=shown, **steps(STEP))
    assert fleet.tickets == ["", "1.2.3.x", ""]
