"""Stand-ins for the review's scripts: the platform's store, routers, clients and targets.

They follow the users' pages: the store answers reads, watches and pages; targets register, send
heartbeats, answer openers and return packets of flows that they do not hold; clients open flows,
send copies of an opener after 200 and 600 ms and retransmit lost packets; routers choose a daemon
by a hash over the daemons in rotation. The daemons are the project's own programs, started with the
commands and the settings templates of deploy/system.toml, one process per machine, each on a
loopback address of its own.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from urllib.parse import parse_qs

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
SYN, ACK, FIN, RST, BOUNCED = 128, 1, 4, 16, 2
HEAD = 32
MAX_DATA = 1200
PORT_DATA, PORT_READY, PORT_CONTROL = 8172, 8167, 8166
PORT_OUTBOUND, PORT_APP, PORT_STORE = 8162, 8165, 8169
INTERNAL_PORT = 7720
HEARTBEAT_S = 1.2
DRAIN_S = 3.0
KEY = os.urandom(8)


class CannotRun(Exception):
    """The case could not be set up."""


# ---------------------------------------------------------------- packets


def ip_bytes(ip):
    return socket.inet_aton(ip)


class Packet:
    """One packet of a flow: the header of the platform's page, and its data."""

    def __init__(self, flags, src, dst, seq=0, ack=0, data=b"", echo=0, pad=0, total=None):
        self.flags, self.src, self.dst = flags, src, dst
        self.seq, self.ack, self.data = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data
        self.echo, self.pad = echo, pad
        self.total = total

    def expected_sum(self):
        fields = bytes([self.flags & ~BOUNCED & 0xFF])
        fields += self.seq.to_bytes(4, "big") + self.ack.to_bytes(4, "big")
        fields += len(self.data).to_bytes(2, "big")
        fields += ip_bytes(self.src[0]) + self.src[1].to_bytes(2, "big")
        fields += ip_bytes(self.dst[0]) + self.dst[1].to_bytes(2, "big") + self.data
        value = zlib.crc32(KEY + fields) & 0xFFFFFFFF
        return value or 1

    def encode(self):
        total = self.expected_sum() if self.total is None else self.total
        head = bytes([self.flags, self.pad]) + self.echo.to_bytes(4, "big")
        head += self.seq.to_bytes(4, "big") + self.ack.to_bytes(4, "big")
        head += total.to_bytes(4, "big") + len(self.data).to_bytes(2, "big")
        head += ip_bytes(self.src[0]) + self.src[1].to_bytes(2, "big")
        head += ip_bytes(self.dst[0]) + self.dst[1].to_bytes(2, "big")
        return head + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD or int.from_bytes(raw[18:20], "big") != len(raw) - HEAD:
            return None
        word = lambda at: int.from_bytes(raw[at:at + 4], "big")
        half = lambda at: int.from_bytes(raw[at:at + 2], "big")
        src = (socket.inet_ntoa(raw[20:24]), half(24))
        dst = (socket.inet_ntoa(raw[26:30]), half(30))
        return Packet(raw[0], src, dst, word(6), word(10), raw[HEAD:], word(2), raw[1], word(14))

    def is_intact(self):
        return self.total == self.expected_sum()

    def is_reset_of_system(self):
        return self.flags & RST != 0 and self.total == 0 and not self.data


def after(a, b):
    return 0 < ((a - b) & 0xFFFFFFFF) < 0x80000000


def at_least(a, b):
    return a == b or after(a, b)


# ---------------------------------------------------------------- record


class Record:
    """Collects what was sent, answered and run, with the time since the start."""

    def __init__(self):
        self.start = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.lines.append("%9.3f  %s" % (self.now(), text))

    def write(self, path, head):
        with open(path, "w") as out:
            out.write("\n".join(head) + "\n\n" + "\n".join(self.lines) + "\n")


# ---------------------------------------------------------------- store


class Store:
    """The platform's metadata store: one linearizable history, read over HTTP/1.1."""

    def __init__(self, site):
        self.site = site
        self.revision = 100
        self.items = {}
        self.history = []
        self.snapshots = [(time.monotonic() - 3600, 100, {})]
        self.changed = asyncio.Event()
        self.stale_s = 0.0
        self.answer_s = 0.004
        self.calls = 0

    def write(self, key, value):
        self.revision += 1
        if value is None:
            if key not in self.items:
                return self.revision
            del self.items[key]
            event = {"key": key, "revision": self.revision, "removed": True}
        else:
            text = base64.b64encode(value).decode()
            created = self.items[key]["createdRev"] if key in self.items else self.revision
            event = {"key": key, "value": text, "revision": self.revision,
                     "createdRev": created, "lease": 0}
            self.items[key] = event
        self.history.append((self.revision, event))
        self.snapshots.append((time.monotonic(), self.revision, dict(self.items)))
        if len(self.snapshots) > 4000:
            del self.snapshots[:1000]
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def snapshot(self, age_s):
        limit = time.monotonic() - age_s
        for at, revision, items in reversed(self.snapshots):
            if at <= limit:
                return revision, items
        return self.snapshots[0][1], self.snapshots[0][2]

    async def serve(self, address):
        self.server = await asyncio.start_server(self.connection, *address)

    async def connection(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b"\r\n", 1)[0].split(b" ")[1].decode()
                peer = writer.get_extra_info("peername")[0]
                status, body = await self.answer(target, peer)
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d OK\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, target, peer):
        self.calls += 1
        path, _, query = target.partition("?")
        fields = {key: value[0] for key, value in parse_qs(query, keep_blank_values=True).items()}
        prefix = fields.get("prefix", "")
        if path == "/api/kv-range":
            is_stale = fields.get("staleOk") == "1"
            await asyncio.sleep(self.answer_s)
            revision, items = self.snapshot(self.stale_s) if is_stale else (self.revision, self.items)
            if is_stale and self.stale_s:
                self.site.record.add("store: a read with staleOk=1 gets the state of %.1f s ago, "
                                     "revision %d (newest %d)" % (self.stale_s, revision, self.revision))
            keys = sorted(key for key in items if key.startswith(prefix) and key > fields.get("after", ""))
            return 200, {"items": [items[key] for key in keys[:500]], "hasMore": len(keys) > 500,
                         "storeRevision": revision}
        if path == "/api/kv-watch":
            since, wait_s = int(fields["after"]), int(fields.get("waitMs", "0")) / 1000
            deadline = time.monotonic() + wait_s
            await asyncio.sleep(self.answer_s)
            while True:
                changed = self.changed
                events = [event for revision, event in self.history
                          if revision > since and event["key"].startswith(prefix)]
                left = deadline - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "storeRevision": self.revision}
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/api/kv-key":
            item = self.items.get(fields.get("key"))
            return (200, dict(item, storeRevision=self.revision)) if item else (404, {})
        return 404, {}


# ---------------------------------------------------------------- targets


class TargetFlow:
    def __init__(self, src, dst, client_seq, seq):
        self.src, self.dst = src, dst
        self.next_in = (client_seq + 1) & 0xFFFFFFFF
        self.seq = seq
        self.sent = (seq + 1) & 0xFFFFFFFF
        self.unacked = []
        self.is_open = False
        self.opened_at = None
        self.in_data = b""
        self.out_of_order = {}
        self.fin_in = self.fin_out = False
        self.reset_sent = False
        self.unacked_packets = 0


class Target:
    """One target beside its agent: opens flows, runs requests in slots, registers in the store."""

    def __init__(self, site, name, service, ip, zone, slots=4, first_seq=None):
        self.site, self.name, self.service, self.ip, self.zone = site, name, service, ip, zone
        self.slots = slots
        self.id = "i-%08x" % random.getrandbits(32)
        self.flows = {}
        self.state = "ready"
        self.sequence = 0
        self.busy = 0
        self.queue = []
        self.first_seq = first_seq
        self.is_alive = True
        self.runs = {}
        self.max_busy = 0

    async def start(self):
        loop = asyncio.get_running_loop()
        target = self

        class Protocol(asyncio.DatagramProtocol):
            def datagram_received(self, raw, _addr):
                target.receive(raw)

        self.transport, _ = await loop.create_datagram_endpoint(
            Protocol, local_addr=(self.ip, PORT_APP))
        self.server = await asyncio.start_server(self.health, self.ip, PORT_APP)
        self.tasks = [loop.create_task(self.beat()), loop.create_task(self.retransmit())]

    async def health(self, reader, writer):
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                status = 200 if self.state == "ready" else 503
                writer.write(b"HTTP/1.1 %d OK\r\nContent-Length: 0\r\n\r\n" % status)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    def register(self):
        self.sequence += 1
        entry = {"service": self.service, "address": "%s:%d" % (self.ip, PORT_APP),
                 "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
                 "coldRemainingMs": 0, "sequence": self.sequence}
        self.site.store.write("servers/" + self.id, json.dumps(entry).encode())

    async def beat(self):
        while self.is_alive:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def send(self, packet):
        self.transport.sendto(packet.encode(), (self.ip, PORT_OUTBOUND))

    def receive(self, raw):
        packet = Packet.decode(raw)
        if packet is None or not packet.is_intact() or packet.flags & BOUNCED or packet.pad:
            self.site.fault("UNASKED", "%s got a packet that its sender did not write so" % self.name)
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & (SYN | ACK) == SYN:
            self.site.on_opener(self, packet)
            if flow is None:
                seq = random.getrandbits(32) if self.first_seq is None else self.first_seq
                flow = self.flows[key] = TargetFlow(packet.src, packet.dst, packet.seq, seq)
            if not flow.is_open:
                self.send(Packet(SYN | ACK, packet.dst, packet.src, flow.seq, packet.seq + 1))
            return
        is_foreign = flow is None or (not flow.is_open and packet.ack != (flow.seq + 1) & 0xFFFFFFFF)
        if is_foreign:
            self.site.on_returned(self, packet)
            bounced = Packet(packet.flags | BOUNCED, packet.src, packet.dst, packet.seq, packet.ack,
                             packet.data, packet.echo, 0, packet.total)
            self.send(bounced)
            return
        if packet.flags & RST:
            self.site.on_left(key)
            del self.flows[key]
            return
        if not flow.is_open:
            flow.is_open, flow.opened_at = True, time.monotonic()
            self.site.on_open(self, key)
        flow.unacked = [sent for sent in flow.unacked if after(sent[1], packet.ack)]
        has_new = False
        if packet.data or packet.flags & FIN:
            if packet.seq == flow.next_in:
                self.take(flow, packet)
                while flow.next_in in flow.out_of_order:
                    self.take(flow, flow.out_of_order.pop(flow.next_in))
                has_new = True
            elif after(packet.seq, flow.next_in):
                flow.out_of_order[packet.seq] = packet
        if packet.data or packet.flags & FIN:
            self.send(Packet(ACK, flow.dst, flow.src, flow.sent, flow.next_in))
        if has_new:
            self.requests(key, flow)
        if flow.fin_in and not flow.fin_out:
            self.push(flow, b"", fin=True)
            flow.fin_out = True
        if flow.fin_in and flow.fin_out and not flow.unacked:
            self.site.on_closed(key)

    def take(self, flow, packet):
        flow.in_data += packet.data
        flow.next_in = (flow.next_in + len(packet.data)) & 0xFFFFFFFF
        if packet.flags & FIN:
            flow.next_in = (flow.next_in + 1) & 0xFFFFFFFF
            flow.fin_in = True

    def requests(self, key, flow):
        while b"\r\n\r\n" in flow.in_data:
            head, rest = flow.in_data.split(b"\r\n\r\n", 1)
            length = re.search(rb"content-length: *(\d+)", head, re.I)
            length = int(length.group(1)) if length else 0
            if len(rest) < length:
                return
            flow.in_data = rest[length:]
            request = re.search(rb"endivedyke-request-id: *(\S+)", head, re.I).group(1).decode()
            work = re.search(rb"x-work-ms: *(\d+)", head, re.I)
            work_ms = int(work.group(1)) if work else 20
            self.queue.append((key, flow, request, work_ms))
        self.work()

    def work(self):
        while self.busy < self.slots and self.queue:
            key, flow, request, work_ms = self.queue.pop(0)
            self.busy += 1
            self.max_busy = max(self.max_busy, self.busy)
            self.runs[request] = self.runs.get(request, 0) + 1
            self.site.on_run(self, key, request)
            asyncio.get_running_loop().call_later(work_ms / 1000, self.done, key, flow, request)

    def done(self, key, flow, request):
        self.busy -= 1
        body = hashlib.sha256(request.encode()).hexdigest().encode()
        head = (b"HTTP/1.1 200 OK\r\nEndivedyke-Response-Signature: s\r\n"
                b"Content-Length: %d\r\n\r\n" % len(body))
        if self.flows.get(key) is flow:
            self.push(flow, head + body)
        self.work()

    def push(self, flow, data, fin=False):
        end = (flow.sent + len(data) + (1 if fin else 0)) & 0xFFFFFFFF
        packet = Packet(ACK | (FIN if fin else 0), flow.dst, flow.src, flow.sent, flow.next_in, data)
        flow.unacked.append([packet, end, time.monotonic(), 0.2, 0])
        flow.sent = end
        self.send(packet)

    async def retransmit(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for flow in list(self.flows.values()):
                for sent in flow.unacked[:16]:
                    if now - sent[2] >= sent[3] and sent[4] < 8:
                        sent[0].ack = flow.next_in
                        sent[0].total = None
                        sent[2], sent[3], sent[4] = now, min(sent[3] * 2, 1.6), sent[4] + 1
                        self.send(sent[0])

    async def drain(self):
        self.state = "draining"
        self.register()

    def crash(self):
        self.is_alive = False
        for task in self.tasks:
            task.cancel()
        self.transport.close()
        self.server.close()


# ---------------------------------------------------------------- clients


class ClientHost:
    """The address of some clients: one socket, to which the system sends their packets."""

    def __init__(self, site, ip, zone):
        self.site, self.ip, self.zone = site, ip, zone
        self.flows = {}
        self.next_port = 20000

    async def start(self):
        loop = asyncio.get_running_loop()
        host = self

        class Protocol(asyncio.DatagramProtocol):
            def datagram_received(self, raw, _addr):
                host.receive(raw)

        self.transport, _ = await loop.create_datagram_endpoint(
            Protocol, local_addr=(self.ip, PORT_DATA))

    def receive(self, raw):
        packet = Packet.decode(raw)
        flow = self.flows.get((packet.dst[1], packet.src)) if packet else None
        if flow is None:
            return
        if not packet.is_reset_of_system() and not packet.is_intact():
            self.site.fault("MIXED", "%s got a packet that its sender did not write so" % flow.name)
            return
        flow.receive(packet)

    def send(self, packet):
        edge = self.site.route(self.zone, packet.src, packet.dst)
        if edge is not None:
            self.transport.sendto(packet.encode(), (edge.ip, PORT_DATA))

    def open(self, called, name):
        port = self.next_port
        self.next_port += 1
        flow = ClientFlow(self, (self.ip, port), called, name)
        self.flows[(port, called)] = flow
        return flow

    def reopen(self, earlier, name):
        """Makes a new flow from the port of an earlier one, which has ended."""
        flow = ClientFlow(self, earlier.src, earlier.dst, name)
        self.flows[(earlier.src[1], earlier.dst)] = flow
        return flow


class ClientFlow:
    """A client's end of one flow."""

    def __init__(self, host, src, dst, name):
        self.host, self.site, self.src, self.dst, self.name = host, host.site, src, dst, name
        self.seq = random.getrandbits(32)
        self.sent = (self.seq + 1) & 0xFFFFFFFF
        self.next_in = None
        self.state = "new"
        self.unacked = []
        self.in_data = b""
        self.out_of_order = {}
        self.answers = {}
        self.waiting = []
        self.changed = asyncio.Event()
        self.reset_at = None

    @property
    def key(self):
        return (self.src, self.dst)

    def note(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def connect(self):
        """Returns whether the flow opened."""
        self.state = "opening"
        started = time.monotonic()
        for copy, due in enumerate((0.0, 0.2, 0.6)):
            await self.wait_until(started + due)
            if self.state != "opening":
                break
            self.site.on_copy(self, copy)
            self.host.send(Packet(SYN, self.src, self.dst, self.seq, copy))
        await self.wait_until(started + 1.4)
        if self.state == "opening":
            self.state = "failed"
        return self.state == "open"

    async def wait_until(self, at):
        while self.state == "opening":
            left = at - time.monotonic()
            if left <= 0:
                return
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                return

    def receive(self, packet):
        if packet.is_reset_of_system():
            distance = (packet.seq - (self.next_in or 0)) & 0xFFFFFFFF
            in_range = min(distance, (-distance) & 0xFFFFFFFF) <= 76800
            if self.state in ("opening", "open"):
                self.site.on_reset(self, packet, in_range)
            if self.state == "opening" or (self.state == "open" and in_range):
                self.state = "reset"
                self.reset_at = time.monotonic()
                self.note()
            return
        if packet.flags & (SYN | ACK) == SYN | ACK:
            if self.state == "opening":
                self.next_in = (packet.seq + 1) & 0xFFFFFFFF
                self.state = "open"
                self.host.send(Packet(ACK, self.src, self.dst, self.sent, self.next_in))
                self.note()
            return
        if self.state != "open":
            return
        if packet.flags & RST:
            self.state = "ended"
            self.site.on_target_reset(self)
            self.note()
            return
        self.unacked = [sent for sent in self.unacked if after(sent[1], packet.ack)]
        if packet.data or packet.flags & FIN:
            if packet.seq == self.next_in:
                self.take(packet)
                while self.next_in in self.out_of_order:
                    self.take(self.out_of_order.pop(self.next_in))
            elif after(packet.seq, self.next_in):
                self.out_of_order[packet.seq] = packet
            self.host.send(Packet(ACK, self.src, self.dst, self.sent, self.next_in))
        self.read_answers()
        self.note()

    def take(self, packet):
        self.in_data += packet.data
        self.next_in = (self.next_in + len(packet.data)) & 0xFFFFFFFF
        if packet.flags & FIN:
            self.next_in = (self.next_in + 1) & 0xFFFFFFFF

    def read_answers(self):
        while b"\r\n\r\n" in self.in_data:
            head, rest = self.in_data.split(b"\r\n\r\n", 1)
            length = int(re.search(rb"Content-Length: (\d+)", head).group(1))
            if len(rest) < length:
                return
            body, self.in_data = rest[:length], rest[length:]
            if not self.waiting:
                self.site.fault("MIXED", "%s got an answer with no request waiting" % self.name)
                return
            request = self.waiting.pop(0)
            if body.decode() != hashlib.sha256(request.encode()).hexdigest():
                self.site.fault("MIXED", "%s got another request's answer" % self.name)
            self.answers[request] = time.monotonic()
            self.site.on_answer(self, request)

    def push(self, data, fin=False):
        while True:
            part, data = data[:MAX_DATA], data[MAX_DATA:]
            is_last = not data
            end = (self.sent + len(part) + (1 if fin and is_last else 0)) & 0xFFFFFFFF
            flags = ACK | (FIN if fin and is_last else 0)
            packet = Packet(flags, self.src, self.dst, self.sent, self.next_in, part)
            self.unacked.append([packet, end, time.monotonic(), 0.2])
            self.sent = end
            self.host.send(packet)
            if is_last:
                return

    def retransmit(self, now):
        for sent in self.unacked[:16]:
            if now - sent[2] >= sent[3]:
                sent[0].ack, sent[0].total = self.next_in, None
                sent[2], sent[3] = now, min(sent[3] * 2, 1.6)
                self.host.send(sent[0])

    async def request(self, request, work_ms=20, limit_s=2.5, method="GET"):
        """Sends a request on the open flow; returns whether it was answered in time."""
        if self.state != "open":
            return False
        self.waiting.append(request)
        self.site.on_request(self, request)
        head = ("%s /work HTTP/1.1\r\nHost: site\r\nEndivedyke-Request-Id: %s\r\nX-Work-Ms: %d\r\n"
                "Content-Length: 0\r\n\r\n" % (method, request, work_ms))
        self.push(head.encode())
        deadline = time.monotonic() + limit_s
        while request not in self.answers and self.state == "open":
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        return request in self.answers

    def close(self):
        if self.state == "open":
            self.site.on_closed(self.key)
            self.push(b"", fin=True)
            self.state = "closing"

    def leave(self):
        """Ends the flow by a reset of the client's own."""
        if self.state == "open":
            self.site.on_left(self.key)
            self.host.send(Packet(RST | ACK, self.src, self.dst, self.sent, self.next_in))
        self.state = "left"


# ---------------------------------------------------------------- daemons


class Daemon:
    """A process of the system on one machine."""

    def __init__(self, site, role, name, ip, zone, target=None):
        self.site, self.role, self.name, self.ip, self.zone = site, role, name, ip, zone
        self.target = target
        self.process = None
        self.starts = 0
        self.in_rotation = False
        self.misses = 0
        self.settings_path = os.path.join(site.folder, name + ".ini")
        self.log_path = os.path.join(site.folder, name + ".log")

    def start(self):
        deploy = self.site.deploy["roles"][self.role]
        fields = self.site.fields(self)
        text = open(os.path.join(ROOT, deploy["template"])).read()
        with open(self.settings_path, "w") as out:
            out.write(re.sub(r"\{\{([\w.]+)\}\}", lambda match: lookup(fields, match.group(1)), text))
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.site.folder, "LANG": "C",
               "ENDIVEDYKE_SETTINGS": self.settings_path}
        command = deploy["run"].split()
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log)
        self.starts += 1

    async def stop(self):
        """Asks the process to stop, and kills it after the grace time of the pages."""
        self.process.send_signal(signal.SIGTERM)
        for _ in range(600):
            if self.process.poll() is not None:
                return
            await asyncio.sleep(0.01)
        self.process.kill()
        self.process.wait()

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, PORT_READY), 0.4)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


def lookup(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else ""
        else:
            value = value.get(part, "")
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return str(value)


# ---------------------------------------------------------------- site


class Site:
    """A small deployment on loopback addresses."""

    def __init__(self, name):
        self.name = name
        self.record = Record()
        self.faults = []
        self.open_flows = {}
        self.folder = tempfile.mkdtemp(prefix="endivedyke-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.net = self.free_net()
        self.store = Store(self)
        self.edges, self.sides, self.targets, self.clients = [], [], [], []
        self.seeds = None
        self.is_first_start = True
        self.config = None
        self.requests = {}
        self.requests_at = {}
        self.runs = {}
        self.answers = {}
        self.has_target_reset = set()

    @staticmethod
    def free_net():
        for _ in range(50):
            net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
            try:
                for port in (PORT_STORE, INTERNAL_PORT, PORT_DATA):
                    with socket.socket() as probe:
                        probe.bind((net + ".1", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def fields(self, daemon):
        seeds = [edge.ip for edge in (self.seeds or self.edges[:3])]
        target = daemon.target
        return {
            "ip": daemon.ip, "zone": daemon.zone,
            "internalPortRange": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "listen": {"datagramAddr": "%s:%d" % (daemon.ip, PORT_DATA),
                       "ready": "%s:%d" % (daemon.ip, PORT_READY),
                       "control": "%s:%d" % (daemon.ip, PORT_CONTROL),
                       "outbound": "%s:%d" % (daemon.ip, PORT_OUTBOUND)},
            "app": "%s:%d" % (daemon.ip, PORT_APP),
            "service": target.service if target else "",
            "bounds": {"maxFlowS": 60},
            "bootstrap": self.is_first_start,
            "platform": {"address": "%s.1:%d" % (self.net, PORT_STORE)},
            "seeds": ["%s:%d" % (ip, PORT_CONTROL) for ip in seeds],
        }

    def add_edge(self, zone):
        number = len(self.edges) + 1
        edge = Daemon(self, "balancer", "edge-%s-%d" % (zone, number),
                      "%s.%d" % (self.net, 10 + number), zone)
        self.edges.append(edge)
        return edge

    def add_side(self, zone, service, slots=4, first_seq=None):
        number = len(self.sides) + 1
        ip = "%s.%d" % (self.net, 40 + number)
        name = "side-%s-%d" % (zone, number)
        target = Target(self, "target-" + str(number), service, ip, zone, slots, first_seq)
        side = Daemon(self, "agent", name, ip, zone, target)
        self.sides.append(side)
        self.targets.append(target)
        return side

    async def add_client_host(self, zone):
        host = ClientHost(self, "%s.%d" % (self.net, 100 + len(self.clients)), zone)
        self.clients.append(host)
        await host.start()
        return host

    def put_config(self, config):
        self.config = config
        revision = self.store.write("op/config", json.dumps(config).encode())
        self.record.add("operator: configuration %d acknowledged at revision %d, routes %s" % (
            config["version"], revision,
            " ".join("%s:%s" % (route["host"], route["prefix"].strip("/")) for route in config["routes"])))

    async def start(self):
        for program in ("balancer", "agent"):
            path = os.path.join(ROOT, self.deploy["roles"][program]["run"].split()[0])
            if not os.access(path, os.X_OK):
                raise CannotRun("not built: " + path)
        await self.store.serve((self.net + ".1", PORT_STORE))
        for target in self.targets:
            await target.start()
        for daemon in self.edges + self.sides:
            daemon.start()
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.probe(edge)) for edge in self.edges]
        self.tasks.append(loop.create_task(self.retransmit()))
        deadline = time.monotonic() + 15
        while not all(edge.in_rotation for edge in self.edges):
            if time.monotonic() > deadline:
                raise CannotRun("the system was not ready within 15 s")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        self.is_first_start = False

    async def retransmit(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for host in self.clients:
                for flow in list(host.flows.values()):
                    if flow.state == "open" or flow.state == "closing":
                        flow.retransmit(now)

    async def probe(self, edge):
        """Probes an edge daemon twice a second: out after two misses, in with the next 200."""
        while True:
            is_ready = await edge.is_ready()
            edge.misses = 0 if is_ready else edge.misses + 1
            was = edge.in_rotation
            if is_ready:
                edge.in_rotation = True
            elif edge.misses >= 2:
                edge.in_rotation = False
            if was != edge.in_rotation:
                self.record.add("router: %s is %s rotation" % (
                    edge.name, "in" if edge.in_rotation else "out of"))
            await asyncio.sleep(0.5)

    def route(self, zone, src, dst):
        """Chooses the edge daemon of a packet by a steady hash over those in rotation."""
        zones = [zone] + sorted({edge.zone for edge in self.edges} - {zone})
        chosen = []
        for candidate in zones:
            own = [edge for edge in self.edges if edge.zone == candidate]
            ready = [edge for edge in own if edge.in_rotation]
            if ready:
                chosen = own if len(ready) * 2 < len(own) else ready
                break
        if not chosen:
            chosen = [edge for edge in self.edges if edge.zone == zone] or self.edges
        rank = lambda edge: hashlib.sha1(("%s|%s|%s" % (src, dst, edge.ip)).encode()).digest()
        return max(chosen, key=rank)

    # ---- what clients and targets see

    def fault(self, rule, text):
        self.faults.append((rule, text))
        self.record.add("BROKEN %s: %s" % (rule, text))

    def on_copy(self, flow, copy):
        self.record.add("client: %s %s:%d>%s:%d sends copy %d of its opener" % (
            flow.name, flow.src[0], flow.src[1], flow.dst[0], flow.dst[1], copy))

    def on_opener(self, target, packet):
        self.record.add("target: %s gets an opener of %s:%d>%s:%d" % (
            target.name, packet.src[0], packet.src[1], packet.dst[0], packet.dst[1]))

    def on_open(self, target, key):
        self.open_flows[key] = (target, time.monotonic())
        self.record.add("target: %s holds the open flow %s:%d>%s:%d" % (
            target.name, key[0][0], key[0][1], key[1][0], key[1][1]))

    def on_returned(self, target, packet):
        self.record.add("target: %s returns a packet of %s:%d>%s:%d" % (
            target.name, packet.src[0], packet.src[1], packet.dst[0], packet.dst[1]))

    def on_closed(self, key):
        self.open_flows.pop(key, None)

    def on_left(self, key):
        self.open_flows.pop(key, None)

    def on_target_reset(self, flow):
        self.open_flows.pop(flow.key, None)

    def on_reset(self, flow, packet, in_range):
        held = self.open_flows.get(flow.key)
        route = "%s:/%d/" % (flow.dst[0], flow.dst[1])
        has_route = any("%s:%s" % (r["host"], r["prefix"]) == route for r in self.config["routes"])
        text = "%s %s:%d>%s:%d gets a reset of the system, seq %d (%s of its last ack)" % (
            flow.name, flow.src[0], flow.src[1], flow.dst[0], flow.dst[1], packet.seq,
            "within 76,800" if in_range else "not within 76,800")
        self.record.add("client: " + text)
        if held and held[0].is_alive and has_route:
            age_s = time.monotonic() - held[1]
            self.fault("FLOW", "%s, open for %.3f s at %s, which lives, holds it and sent no reset" % (
                text, age_s, held[0].name))

    def discard(self, flow):
        """Both ends discard an idle flow, without a packet."""
        flow.state = "discarded"
        self.open_flows.pop(flow.key, None)
        for target in self.targets:
            target.flows.pop(flow.key, None)

    def on_request(self, flow, request):
        self.requests[request] = flow.name
        self.requests_at[request] = time.monotonic()
        self.record.add("client: %s sends request %s" % (flow.name, request))

    def on_run(self, target, key, request):
        if request not in self.requests:
            self.fault("UNASKED", "%s runs %s, which no client sent" % (target.name, request))
        self.runs[request] = self.runs.get(request, 0) + 1
        self.record.add("target: %s runs %s" % (target.name, request))

    def on_answer(self, flow, request):
        self.answers[request] = flow.name
        self.record.add("client: %s gets the answer to %s" % (flow.name, request))

    # ---- end

    async def end(self):
        for task in getattr(self, "tasks", []):
            task.cancel()
        for daemon in self.edges + self.sides:
            daemon.kill()


def route(host, port, kind, service, timeout_ms, aim_ms, priority=1):
    return {"name": "r-%s-%d" % (host.replace(".", "-"), port), "host": host, "prefix": "/%d/" % port,
            "kind": kind, "timeoutMs": timeout_ms, "aimMs": aim_ms, "priority": priority,
            "service": service, "maxAttempts": 2}


def config(version, routes, services, idle_ms=15000):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthCheckPath": "/health", "maxConnections": 2000,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": idle_ms}}


# The exit codes of a case's program; run.sh translates them.
HELD, BROKEN, COULD_NOT_RUN = 10, 11, 12


def main(case, rule, limit_s=110):
    """Runs a case and writes its record; see the exit codes above."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    site, reason = None, ""

    async def run():
        nonlocal site
        site = Site(os.path.basename(folder))
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            await asyncio.wait_for(case(site, has_trouble), limit_s)
        finally:
            await site.end()

    try:
        asyncio.run(run())
        status = BROKEN if any(name == rule for name, _ in site.faults) else HELD
    except asyncio.TimeoutError:
        status, reason = COULD_NOT_RUN, "not done within %d s" % limit_s
    except (Exception, asyncio.CancelledError) as error:
        status, reason = COULD_NOT_RUN, "%s: %s" % (type(error).__name__, error)
    broken = {}
    for name, _ in site.faults if site else []:
        broken[name] = broken.get(name, 0) + 1
    results = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}
    head = ["case %s, rule %s, TROUBLE=%d" % (os.path.basename(folder), rule, has_trouble),
            "result: %s%s" % (results[status], ": " + reason if reason else ""),
            "broken: %s" % (", ".join("%s %d" % item for item in sorted(broken.items())) or "none")]
    if site:
        head.append("requests sent %d, run %d, run more than once %d, answered %d" % (
            len(site.requests), len(site.runs), sum(1 for count in site.runs.values() if count > 1),
            len(site.answers)))
        site.record.write(os.path.join(folder, "record.txt"), head)
        if os.environ.get("KEEP_LOGS") == "1":
            print("logs:", site.folder)
        else:
            shutil.rmtree(site.folder, ignore_errors=True)
    print("\n".join(head))
    sys.exit(status)
