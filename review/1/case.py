"""A router is frozen for 3.9 s. Meanwhile an engine crashes for good and, 2.2 s later, its address passes to a server of
another service, which enters itself in the store with its first heartbeat, 0.6 s after its start."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from site_standins import HOST, Engine, Server, free_ports, main

FREEZE_S = 3.9  # node_freeze of the site lasts 4 s
REUSE_S = 2.2  # the platform withholds an address for 2 s (addr_reuse_s)
LAPSE_S = 3.6  # three heartbeats of 1,200 ms
FIRST_HEARTBEAT_S = 0.6  # a server writes to the store about every 1,200 ms
ROUTERS = 6


class Paced:
    """Tells its load with a fourth figure, how long work takes at present (100: as usual), and names itself where the
    pages say so: in health answers and with 421."""

    async def reply(self, writer, status, headers, body):
        headers = dict(headers)
        if status == 400:
            headers.pop("Instance-Id", None)
        if "Server-Load" in headers:
            headers["Server-Load"] += ",100"
        await super().reply(writer, status, headers, body)

    def signed(self, request):
        headers = super().signed(request)
        return headers | {"Server-Load": headers["Server-Load"] + ",100"}


class PacedEngine(Paced, Engine):
    pass


class Application(Paced, Server):
    def signed(self, request):
        # `reply` adds the figure.
        return Server.signed(self, request)


async def play(site, trouble):
    ports = free_ports(5)
    engines = [PacedEngine(site, f"i-engine{k}", "drafts", ports[k], zone=f"zone-{'abc'[k % 3]}") for k in range(3)]
    applications = [Application(site, f"i-fonts{k}", "fonts", ports[3 + k]) for k in range(2)]
    site.servers = engines + applications
    for server in site.servers:
        await server.start()
        server.register()
    site.configure(
        [
            {
                "name": "summary", "host": HOST, "path_prefix": "/summary/", "route_type": "streaming", "resumable": True,
                "timeout_ms": 25000, "target_latency_ms": 4500, "gap_target_ms": 700, "priority": 1, "max_attempts": 5,
                "backend": "drafts",
            },
            {
                "name": "font", "host": HOST, "path_prefix": "/font/", "route_type": "unsafe", "timeout_ms": 1000,
                "target_latency_ms": 150, "priority": 2, "max_attempts": 1, "backend": "fonts",
            },
        ],
        [
            {"name": "drafts", "health_path": "/healthz", "max_conns": 370, "engine": {"kv_capacity": 88000}},
            {"name": "fonts", "health_path": "/healthz", "max_conns": 110},
        ],
    )
    await site.start_routers(ROUTERS)
    frozen, calls = site.routers[0], []
    is_frozen = False

    def send(router, request):
        sent = site.request(router, request, f"/summary/{request}", deadline_ms=25000, limit=20)
        calls.append(asyncio.create_task(sent))

    async def traffic(until):
        number = 0
        while time.monotonic() < until:
            router = site.routers[number % ROUTERS]
            # Clients leave out an address that has failed them.
            if router is not frozen or not is_frozen:
                send(router, f"n{number}")
            number += 1
            await asyncio.sleep(0.05)

    begin = time.monotonic()
    background = asyncio.create_task(traffic(begin + 12))
    await asyncio.sleep(0.5)
    for number in range(6):
        send(frozen, f"early{number}")
    await asyncio.sleep(1.0)
    if trouble:
        is_frozen = True
        frozen.signal(signal.SIGSTOP)
        thaw_at = time.monotonic() + FREEZE_S
        await asyncio.sleep(1.4)
        lost = engines[0]
        lost.crash()
        crashed_at = time.monotonic()
        await asyncio.sleep(REUSE_S)
        newcomer = Application(site, "i-fonts2", "fonts", lost.port)
        site.servers.append(newcomer)
        await newcomer.start()
        started_at = time.monotonic()
        await asyncio.sleep(max(0.0, thaw_at - time.monotonic()))
        frozen.signal(signal.SIGCONT)
        is_frozen = False
        await asyncio.sleep(max(0.0, started_at + FIRST_HEARTBEAT_S - time.monotonic()))
        newcomer.register()
        await asyncio.sleep(max(0.0, crashed_at + LAPSE_S - time.monotonic()))
        site.store.remove("servers", lost.name)
        site.record.write(f"the entry of server {lost.name} lapses")
    await background
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    wrong = [(server.name, run) for server in site.servers if server.service == "fonts" for run in server.runs]
    if not wrong:
        return None
    return f"ROUTE: servers of service fonts ran {len(wrong)} requests of a route that leads to service drafts alone"


main(os.path.dirname(os.path.abspath(__file__)), play)
