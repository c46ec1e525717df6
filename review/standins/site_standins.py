"""Stand-ins for the cases of this folder: the platform's store, servers, clients, and routers as processes.

All addresses are loopback addresses. The stand-ins follow PROTOCOL.md and DEPLOY.md; they run in one asyncio loop.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "cloverpier-front")
HOST = "site.example"
KEY = "key-of-tenant-one"


_given = set()


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with times since the start of the case."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()


def free_ports(count):
    """Ports of 127.0.0.1 on which nobody listens, below those that the system gives to outgoing connections."""
    found = []
    while len(found) < count:
        port = random.randrange(18000, 32000)
        with socket.socket() as tried:
            try:
                tried.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found and port not in _given:
            found.append(port)
            _given.add(port)
    return found


async def read_head(reader):
    """The first line and the headers (lower-case names) of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """A whole body, with a length or in chunks; raises if it breaks off."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store: objects by kind and name, lists, waiting watches. It can be silent."""

    def __init__(self):
        self.revision = 0
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.silent = False
        self.address = None
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec):
        self.revision += 1
        old = self.objects.get((kind, name))
        made = old["metadata"]["made"] if old else self.revision
        self.objects[(kind, name)] = {
            "metadata": {"name": name, "revision": self.revision, "made": made, "finalizers": [], "deleting": False},
            "spec": spec,
            "status": old["status"] if old else None,
        }
        self._event(kind, False, self.objects[(kind, name)])

    def remove(self, kind, name):
        found = self.objects.pop((kind, name), None)
        if found:
            self.revision += 1
            found["metadata"]["revision"] = self.revision
            self._event(kind, True, found)

    def _event(self, kind, gone, found):
        self.events.append((self.revision, kind, {"gone": gone, "object": json.loads(json.dumps(found))}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ", 2)
                status, answer = await self._answer(method, target, body)
                while self.silent:
                    # An answer that is lost: this connection says nothing more.
                    await asyncio.sleep(3600)
                await asyncio.sleep(0.004)
                text = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text))
                    + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(p.partition("=")[::2] for p in query.split("&") if p)
        parts = path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) < 2:
            return 404, {}
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        if method == "POST":
            asked = json.loads(body)
            name = asked["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            self.put(kind, name, asked.get("spec"))
            return 200, self.objects[(kind, name)]
        found = self.objects.get((kind, name)) if name else None
        if name and found is None:
            return 404, {}
        if method == "PUT":
            asked = json.loads(body)
            at = asked.get("metadata", {}).get("revision")
            if at is not None and at != found["metadata"]["revision"]:
                return 409, found
            self.put(kind, name, asked.get("spec"))
            return 200, self.objects[(kind, name)]
        if method == "DELETE":
            self.remove(kind, name)
            return 200, found
        if name:
            return 200, found
        if "watch" not in query:
            items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
            return 200, {"items": items, "more": False, "at": self.revision}
        since, until = int(query["watch"]), time.monotonic() + int(query.get("wait_ms", "0")) / 1e3
        while True:
            changed = self.changed
            new = [e for at, k, e in self.events if k == kind and at > since]
            left = until - time.monotonic()
            if new or left <= 0:
                return 200, {"events": new, "at": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """A plain server of a service: one start, with an id of its own."""

    def __init__(self, site, name, service, port, zone="zone-a", slots=6, answer=None):
        self.site, self.name, self.service, self.port, self.zone, self.slots = site, name, service, port, zone, slots
        self.answer = answer
        self.work_s = 0.03
        self.body = b"x" * 800
        self.writers = set()
        self.server = None
        self.seq = 0
        self.runs = []
        self.leaving = False

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.site.record.write(f"server {self.name} of service {self.service} starts at port {self.port}")

    def entry(self, state="ready"):
        return {
            "backend": self.service, "address": self.address, "zone": self.zone, "config_version": "v1",
            "slots": self.slots, "state": state, "cold_left_ms": 0, "seq_no": 1,
        }

    def register(self):
        self.site.store.put("servers", self.name, self.entry())
        self.site.record.write(f"the store lists server {self.name} of service {self.service}")

    def crash(self):
        """The process is gone: its port refuses, its connections are reset."""
        self.site.record.write(f"server {self.name} crashes")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                await self._answer(line, headers, body, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, line, headers, body, reader, writer):
        method, target, _ = line.split(" ", 2)
        request = headers.get("request-id")
        if target == "/healthz":
            await self.reply(writer, 200, {"Instance-Id": self.name, "Server-Load": f"0,0,{self.slots}"}, b"ok")
        elif request is None:
            await self.reply(writer, 400, {"Not-Executed": "1", "Instance-Id": self.name}, b"")
        elif headers.get("expect-instance", self.name) != self.name:
            self.site.record.write(
                f"server {self.name} turns request {request} for {headers['expect-instance']} away with 421"
            )
            await self.reply(writer, 421, {"Instance-Id": self.name, "Request-Id": request}, b"")
        else:
            self.runs.append((request, target))
            self.site.record.write(f"server {self.name} of service {self.service} runs request {request}: {method} {target}")
            if self.answer is not None:
                await self.answer(self, request, headers, writer)
                return
            await asyncio.sleep(self.work_s)
            await self.reply(writer, 200, self.signed(request), self.body)

    def signed(self, request):
        return {"Request-Id": request, "Response-Signature": f"{self.name}.{request}", "Server-Load": f"1,0,{self.slots}"}

    async def reply(self, writer, status, headers, body):
        text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
        text += "".join(f"{n}: {v}\r\n" for n, v in headers.items()) + "\r\n"
        writer.write(text.encode() + body)
        await writer.drain()


class Engine(Server):
    """A model server: its answers are event streams that may go on after `Last-Event-Id`."""

    def __init__(self, site, name, service, port, zone="zone-a"):
        super().__init__(site, name, service, port, zone, slots=64, answer=Engine.stream)
        self.events, self.first_s, self.pause_s = 130, 0.1, 0.03
        self.running = 0

    async def _answer(self, line, headers, body, reader, writer):
        if line.split(" ")[1] == "/report":
            report = {
                "phase": "colocated", "models": [{"name": "m", "config_version": 1, "adapters": []}], "busy": False,
                "seq_no": 1, "queued": 0, "running": self.running, "kv_used": 0, "kv_total": 88000, "handles": 0,
            }
            await self.reply(writer, 200, {"Content-Type": "application/json"}, json.dumps(report).encode())
            return
        await super()._answer(line, headers, body, reader, writer)

    async def stream(self, request, headers, writer):
        head = "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        head += "".join(f"{n}: {v}\r\n" for n, v in self.signed(request).items()) + "\r\n"
        self.running += 1
        try:
            writer.write(head.encode())
            await asyncio.sleep(self.first_s)
            for event in range(int(headers.get("last-event-id", "0")) + 1, self.events + 1):
                text = f"id: {event}\ndata: {request} {event}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(text), text))
                await writer.drain()
                await asyncio.sleep(self.pause_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1


class Router:
    """A router as a process of its own, with the deploy file's command."""

    def __init__(self, site, index):
        self.site, self.index = site, index
        self.callers, self.ready, self.directory, self.peers = free_ports(4)
        self.process = None
        self.settings = os.path.join(site.dir, f"front-{index}.toml")
        self.log = os.path.join(site.dir, f"front-{index}.log")

    def write_settings(self, seeds, more=""):
        # platform/settings.toml.template, filled with the figures of the site.
        text = (
            f'vm = "front-{self.index}"\ndata_centre = "zone-{"abc"[self.index % 3]}"\n'
            f'callers_listen = "127.0.0.1:{self.callers}"\nready_listen = "127.0.0.1:{self.ready}"\n'
            f'directory_listen = "127.0.0.1:{self.directory}"\npeers_listen = "127.0.0.1:{self.peers}"\n'
            f'store = "{self.site.store.address}"\nseeds = [{", ".join(chr(34) + s + chr(34) for s in seeds)}]\n'
            "link_mbps = 200.0\nmemory_mb = 160\ngrace_s = 8\naddress_reuse_s = 2\nretry_ratio = 0.8\n"
            "retry_slack = 150\nretry_window_s = 10\nsingleton_work = []\n" + more
        )
        with open(self.settings, "w") as file:
            file.write(text)

    def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CLOVERPIER_SETTINGS"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def signal(self, number):
        self.site.record.write(f"router {self.index} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def lines(self, event):
        """The lines of its log with this event."""
        with open(self.log) as file:
            found = [json.loads(line) for line in file if line.startswith("{")]
        return [line for line in found if line.get("event") == event]


class Site:
    """A small deployment: a store, servers, routers."""

    def __init__(self, folder):
        self.dir = tempfile.mkdtemp(prefix="cloverpier-review-")
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store = Store()
        self.routers = []
        self.servers = []
        self.version = 0

    def configure(self, routes, services):
        self.version += 3
        self.store.put("config", "main", {
            "config_version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
            "tenants": [{"name": "tenant-one", "api_keys": [KEY]}],
        })
        self.record.write(f"the store has configuration {self.version}")

    async def start_routers(self, count, more=""):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/release/cloverpier-front is not built")
        self.routers = [Router(self, index) for index in range(count)]
        seeds = [f"127.0.0.1:{router.peers}" for router in self.routers[:3]]
        for router in self.routers:
            router.write_settings(seeds, more)
            router.start()
        until = time.monotonic() + 15
        for router in self.routers:
            while await self.status(router.ready, "/ready") != 200:
                if time.monotonic() > until:
                    raise CannotRun(f"router {router.index} does not get ready")
                await asyncio.sleep(0.05)
        self.record.write(f"{count} routers are ready")

    async def status(self, port, path):
        answer = await self.call(port, "GET", path, {}, b"", 1.0)
        return answer.status

    async def call(self, port, method, path, headers, body, limit, read=None):
        """Sends one request on a new connection; what came back within `limit` seconds."""
        answer = Answer()
        try:
            await asyncio.wait_for(self._call(answer, port, method, path, headers, body, read), limit)
        except asyncio.TimeoutError:
            answer.end = "no end in time"
        except (ConnectionError, asyncio.IncompleteReadError, OSError) as error:
            answer.end = f"broken: {type(error).__name__}"
        finally:
            if answer.writer:
                answer.writer.transport.abort()
        return answer

    async def _call(self, answer, port, method, path, headers, body, read):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        answer.writer = writer
        text = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(body)}\r\n"
        text += "".join(f"{n}: {v}\r\n" for n, v in headers.items()) + "\r\n"
        writer.write(text.encode() + body)
        head = await read_head(reader)
        if head is None:
            answer.end = "closed without an answer"
            return
        answer.status = int(head[0].split(" ")[1])
        answer.headers = head[1]
        if read is not None:
            await read(answer, reader)
            return
        answer.body = await read_body(reader, head[1])
        answer.end = "whole"

    def request_headers(self, request, deadline_ms):
        return {"Request-Id": request, "Credential": KEY, "Deadline-Ms": str(deadline_ms)}

    async def request(self, router, request, path, deadline_ms=1000, method="POST", body=b"b", limit=None, more=None):
        """A client's request to a router; its end is recorded."""
        self.record.write(f"client sends {request} to router {router.index}: {method} {path}")
        headers = self.request_headers(request, deadline_ms) | (more or {})
        limit = limit or deadline_ms / 1e3 + 1.0
        answer = await self.call(router.callers, method, path, headers, body, limit)
        self.record.write(
            f"client of {request}: status {answer.status}, signature {answer.headers.get('response-signature')}, "
            f"{len(answer.body)} bytes, {answer.end}"
        )
        return answer

    def close(self):
        for router in self.routers:
            if router.process and router.process.poll() is None:
                router.process.send_signal(signal.SIGCONT)
                router.process.kill()
                router.process.wait()
        if os.environ.get("KEEP"):
            self.record.write(f"logs are kept in {self.dir}")
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


class Answer:
    """What a client got."""

    def __init__(self):
        self.status, self.headers, self.body, self.end, self.writer = None, {}, b"", "no answer", None


def main(folder, play):
    """Plays a case: exit 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site = None

    async def run():
        nonlocal site
        site = Site(folder)
        await site.store.start()
        site.record.write("TROUBLE=" + ("1" if trouble else "0"))
        return await asyncio.wait_for(play(site, trouble), 110)

    code = 2
    try:
        broken = asyncio.run(run())
        site.record.write("the rule was broken: " + broken if broken else "the rule held")
        code = 1 if broken else 0
    except Exception as error:  # Whatever went wrong in the stand-ins is no verdict on the rule.
        if site:
            site.record.write(f"the case could not run: {error!r}")
    finally:
        if site:
            site.close()
    sys.exit(code)
