"""Tests the probes and metrics of an agent."""

import aiohttp

from bench.procs import free_port
from tests.unit.agent_fakes import Rig


async def test_probes_and_metrics() -> None:
    port = free_port()
    async with Rig(http_port=port) as rig, aiohttp.ClientSession() as http:
        url = f"http://127.0.0.1:{port}"
        assert (await http.get(f"{url}/healthz")).status == 200
        assert (await http.get(f"{url}/readyz")).status == 200
        text = await (await http.get(f"{url}/metrics")).text()
        assert "sapphirelead_agent_free_cpu_millicores 4000.0" in text
        rig.agent.drain()
        assert (await http.get(f"{url}/readyz")).status == 503
