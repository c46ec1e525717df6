"""A router that was frozen takes a server of another service for the successor of an engine that it remembers."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
from site_standins import CannotRun, Engine, free_ports, main  # noqa: E402

FREEZE_S = 3.0  # at most 4
OUTAGE_S = 4.4  # at most 4.5
ADDR_REUSE_S = 2.0
ENGINES = 8  # one of them is lost: 0.125 of the service, at most 0.15


async def play(site, trouble):
    ports = free_ports(ENGINES + 3)
    zones = ["zone-a", "zone-b", "zone-c"]
    drafts = [Engine(site, f"i-drafts-{n}", "drafts", ports[n], zones[n % 3]) for n in range(ENGINES)]
    notes = [Engine(site, f"i-notes-{n}", "notes", ports[ENGINES + n], zones[n]) for n in range(3)]
    for server in [*drafts, *notes]:
        await server.start()
        server.register()
    common = {"host": "site.example", "route_type": "streaming", "timeout_ms": 25000, "target_latency_ms": 4500,
              "gap_target_ms": 700, "priority": 1, "max_attempts": 5, "resumable": True}
    engine = {"kv_capacity": 88000}
    site.configure(
        routes=[
            {"name": "draft", "path_prefix": "/draft/", "backend": "drafts"} | common,
            {"name": "note", "path_prefix": "/note/", "backend": "notes"} | common,
        ],
        services=[
            {"name": "drafts", "health_path": "/healthz", "max_conns": 370, "engine": engine},
            {"name": "notes", "health_path": "/healthz", "max_conns": 370, "engine": engine},
        ],
    )
    await site.start_routers(3)
    frozen = site.routers[0]
    await asyncio.sleep(1.5)

    def draft(name):
        more = {"Model": "m", "Token-Count": "800,130", "Prefix-Hash": f"5c1e07a2:200,{name.encode().hex()}:600"}
        return asyncio.create_task(site.request(frozen, name, f"/draft/{name}", 25000, more=more))

    calls = [draft(f"before-{n}") for n in range(16)]
    await asyncio.sleep(1.0)
    lost = next((engine for engine in drafts if engine.running), None)
    if lost is None:
        raise CannotRun("no stream reached an engine")
    if trouble:
        frozen.signal(signal.SIGSTOP)
        site.store.silent = True
        site.record.write("the store is silent")
    outage_over = asyncio.get_running_loop().time() + OUTAGE_S
    await asyncio.sleep(0.5)
    lost.crash()
    # The platform passes the address on.
    await asyncio.sleep(ADDR_REUSE_S + 0.1)
    new = Engine(site, "i-notes-new", "notes", lost.port, lost.zone)
    await new.start()
    if not trouble:
        new.register()
    await asyncio.sleep(FREEZE_S - ADDR_REUSE_S - 0.6)
    if trouble:
        frozen.signal(signal.SIGCONT)
    for n in range(20):
        calls.append(draft(f"after-{n}"))
        await asyncio.sleep(0.05)
    await asyncio.sleep(max(0, outage_over - asyncio.get_running_loop().time()))
    if trouble:
        site.store.silent = False
        site.record.write("the store answers again")
        new.register()
    # Lapsed or not: the list is right from here on.
    site.store.remove("servers", lost.name)
    await asyncio.sleep(5.0)
    for n in range(20):
        calls.append(draft(f"listed-{n}"))
        await asyncio.sleep(0.05)
    answers = await asyncio.gather(*calls)
    wrong = [name for server in [*notes, new] for name, target in server.runs if target.startswith("/draft/")]
    foreign = [a for a in answers if "i-notes" in a.headers.get("response-signature", "")]
    if wrong:
        listed = sum(name.startswith("listed") for name in wrong)
        return (
            f"ROUTE: servers of service notes ran {len(wrong)} requests of a route that only leads to drafts, "
            f"{listed} of them over 5 s after the store had listed the server's service; "
            f"{len(foreign)} clients got answers with signatures of notes"
        )
    if any(answer.end != "whole" for answer in answers):
        raise CannotRun("not every stream was whole")
    return None


main(HERE, play)
