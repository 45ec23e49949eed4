"""Stand-ins for a small deployment on loopback: the platform's store and routers, targets and clients.

They follow the users' pages (PROTOCOL.md, DEPLOY.md). The programs under test are the ones of
deploy/system.toml, each in a process of its own, with settings filled in from its templates.

Everything runs on one loopback network 127.X.Y.0/24, chosen at random and free. One thread runs
clients, targets and routers; the store, the health endpoints and the readiness probes have threads
of their own.
"""

import base64
import hashlib
import heapq
import http.client
import json
import os
import pathlib
import random
import selectors
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import zlib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]

STORE_PORT = 8169
PACKET_PORT = 8172
READY_PORT = 8167
CONTROL_PORT = 8166
OUTBOUND_PORT = 8162
APP_PORT = 8165
INTERNAL_PORT = 7720

SYN, ACK, FIN, RST, BOUNCED = 128, 1, 4, 16, 2
HEAD = struct.Struct(">BBIIIIH4sH4sH")
HEAD_BYTES = 32
MAX_DATA_BYTES = 1200
WINDOW_PACKETS = 16
RESET_WINDOW = 76_800
SUM_KEY = b"known to clients and targets only"

# The bounds of the sheet of sites/pwz-lb.toml.
STABLE_MS = 4_000
HEARTBEAT_MS = 1_200
DRAIN_MS = 3_000
CONFIG_MS = 3_000
MAX_FLOW_S = 60


def now_ms():
    return time.monotonic() * 1000.0


class Packet:
    """A packet of a flow; see PROTOCOL.md, "Packets"."""

    __slots__ = ("flags", "seq", "ack", "src", "dst", "data", "sum", "pad", "echo")

    def __init__(self, flags, seq, ack, src, dst, data=b"", sum_=None, pad=0, echo=0):
        self.flags, self.seq, self.ack = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
        self.src, self.dst, self.data = src, dst, data
        self.sum, self.pad, self.echo = sum_, pad, echo

    def true_sum(self):
        text = repr((self.flags & ~BOUNCED, self.seq, self.ack, self.src, self.dst, self.data))
        return int.from_bytes(hashlib.blake2b(text.encode(), key=SUM_KEY, digest_size=4).digest(), "big") | 1

    def encode(self):
        total = self.true_sum() if self.sum is None else self.sum
        head = HEAD.pack(self.flags, self.pad, self.echo, self.seq, self.ack, total, len(self.data),
                         socket.inet_aton(self.src[0]), self.src[1],
                         socket.inet_aton(self.dst[0]), self.dst[1])
        return head + self.data

    @staticmethod
    def decode(raw):
        """Returns the packet, or None if it is malformed."""
        if len(raw) < HEAD_BYTES:
            return None
        flags, pad, echo, seq, ack, total, length, src, sport, dst, dport = HEAD.unpack(raw[:HEAD_BYTES])
        if length != len(raw) - HEAD_BYTES:
            return None
        return Packet(flags, seq, ack, (socket.inet_ntoa(src), sport), (socket.inet_ntoa(dst), dport),
                      raw[HEAD_BYTES:], total, pad, echo)

    def is_genuine(self):
        return self.sum == self.true_sum()

    def is_system_reset(self):
        return self.flags == RST and self.sum == 0 and not self.data


class End:
    """One end of an open flow: sequence numbers, acknowledgements, retransmission."""

    def __init__(self, local, remote, seq, expected):
        self.local, self.remote = local, remote
        self.acked = seq & 0xFFFFFFFF      # the first byte that the other end has not acknowledged
        self.pending = b""                 # the bytes from there on
        self.in_flight = 0
        self.expected = expected & 0xFFFFFFFF
        self.received = b""
        self.wants_close = False
        self.fin_sent = False
        self.fin_acked = False
        self.remote_closed = False
        self.resend_ms = 200.0
        self.resend_at = None
        self.resends = 0
        self.must_ack = False
        self.last_ms = now_ms()

    def packet(self, flags, offset, data=b""):
        return Packet(flags | ACK, self.acked + offset, self.expected, self.local, self.remote, data)

    def receive(self, packet, now):
        self.last_ms = now
        moved = (packet.ack - self.acked) & 0xFFFFFFFF
        limit = self.in_flight + (1 if self.fin_sent else 0)
        if 1 <= moved <= limit:
            if self.fin_sent and moved == len(self.pending) + 1:
                self.fin_acked = True
            data_moved = min(moved, len(self.pending))
            self.pending = self.pending[data_moved:]
            self.in_flight = max(0, self.in_flight - data_moved)
            self.acked = packet.ack
            self.resend_ms, self.resends = 200.0, 0
            self.resend_at = now + self.resend_ms
        if packet.data:
            self.must_ack = True
            if packet.seq == self.expected:
                self.received += packet.data
                self.expected = (self.expected + len(packet.data)) & 0xFFFFFFFF
        if packet.flags & FIN:
            self.must_ack = True
            if (packet.seq + len(packet.data)) & 0xFFFFFFFF == self.expected and not self.remote_closed:
                self.remote_closed = True
                self.expected = (self.expected + 1) & 0xFFFFFFFF

    def unacknowledged(self):
        return self.in_flight > 0 or (self.fin_sent and not self.fin_acked)

    def due(self, now):
        """Returns the packets to send now."""
        out = []
        if self.unacknowledged() and self.resend_at is not None and now >= self.resend_at:
            self.in_flight = 0
            self.fin_sent = False
            self.resends += 1
            self.resend_ms = min(self.resend_ms * 2, 1600.0)
            self.resend_at = now + self.resend_ms
        while self.in_flight < len(self.pending) and self.in_flight < WINDOW_PACKETS * MAX_DATA_BYTES:
            data = self.pending[self.in_flight:self.in_flight + MAX_DATA_BYTES]
            out.append(self.packet(0, self.in_flight, data))
            if self.in_flight == 0 and self.resends == 0:
                self.resend_at = now + self.resend_ms
            self.in_flight += len(data)
        if self.wants_close and not self.fin_sent and not self.fin_acked and self.in_flight == len(self.pending):
            out.append(self.packet(FIN, len(self.pending)))
            self.fin_sent = True
            if self.resends == 0:
                self.resend_at = now + self.resend_ms
        if out:
            self.must_ack = False
        elif self.must_ack:
            self.must_ack = False
            out.append(self.packet(0, self.in_flight))
        return out

    def is_closed(self):
        return self.fin_acked and self.remote_closed


def take_message(end):
    """Takes one complete HTTP message from an end; returns (first line, headers, body) or None."""
    split = end.received.find(b"\r\n\r\n")
    if split < 0:
        return None
    lines = end.received[:split].decode("latin-1").split("\r\n")
    headers = {k.strip().lower(): v.strip() for k, v in (line.split(":", 1) for line in lines[1:])}
    length = int(headers.get("content-length", "0"))
    if len(end.received) < split + 4 + length:
        return None
    body = end.received[split + 4:split + 4 + length]
    end.received = end.received[split + 4 + length:]
    return lines[0], headers, body


def signature(service, request_id, body):
    return hashlib.blake2b(f"{service} {request_id}".encode() + body, key=SUM_KEY, digest_size=8).hexdigest()


class Record:
    """record.txt: what was sent, answered and run, in order."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = now_ms()
        self.lock = threading.Lock()

    def line(self, text):
        with self.lock:
            self.file.write(f"{(now_ms() - self.start) / 1000:9.4f} {text}\n")

    def close(self):
        with self.lock:
            self.file.close()


class Store:
    """The platform's metadata store."""

    def __init__(self, address, record):
        self.items, self.events, self.revision = {}, [], 1_000
        self.times = []                    # when each event came
        self.stale_ms = 0.0                # how old a read with staleOk=1 is, ...
        self.stale_from = ""               # ... if its page begins after this key or a later one
        self.answer_ms = 0.0
        self.changed = threading.Condition()
        self.record = record
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self):
                super().setup()
                self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

            def log_message(self, *_):
                pass

            def do_GET(self):
                url = urlparse(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                status, body = store.answer(url.path, query)
                raw = json.dumps(body).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(raw)))
                    self.end_headers()
                    self.wfile.write(raw)
                except OSError:
                    self.close_connection = True

        self.server = quiet_server(address, Handler)

    def put(self, key, value):
        """Writes a value; returns its revision. The return is the acknowledgement."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self.revision += 1
            created = self.items[key]["createdRev"] if key in self.items else self.revision
            item = {"key": key, "value": text, "revision": self.revision, "createdRev": created, "lease": 0}
            self.items[key] = item
            self.events.append(item)
            self.times.append(now_ms())
            self.changed.notify_all()
            return self.revision

    def stale_state(self):
        """Returns items and revision as they were `stale_ms` ago."""
        until, items, revision = now_ms() - self.stale_ms, {}, 1_000
        for event, when in zip(self.events, self.times):
            if when > until:
                break
            revision = event["revision"]
            if event.get("removed"):
                items.pop(event["key"], None)
            else:
                items[event["key"]] = event
        return items, revision

    def value_but_sequence(self, key):
        """Returns the value of an entry with its sequence set to 0, or None if there is none."""
        with self.changed:
            item = self.items.get(key)
        return item and json.loads(base64.b64decode(item["value"])) | {"sequence": 0}

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                self.events.append({"key": key, "revision": self.revision, "removed": True})
                self.times.append(now_ms())
                self.changed.notify_all()

    def answer(self, path, query):
        if path == "/api/kv-key":
            with self.changed:
                item = self.items.get(query.get("key", ""))
                return (200, item) if item else (404, {})
        if path == "/api/kv-range":
            time.sleep(self.answer_ms / 1000)
            with self.changed:
                items, revision = self.items, self.revision
                prefix, after = query.get("prefix", ""), query.get("after", "")
                if query.get("staleOk") == "1" and self.stale_ms and after >= self.stale_from:
                    items, revision = self.stale_state()
                keys = sorted(k for k in items if k.startswith(prefix) and k > after)
                page = [items[k] for k in keys[:500]]
                return 200, {"items": page, "hasMore": len(keys) > 500, "storeRevision": revision}
        if path == "/api/kv-watch":
            prefix, after = query.get("prefix", ""), int(query["after"])
            until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            with self.changed:
                while True:
                    found = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
                    left = until - time.monotonic()
                    if found or left <= 0:
                        return 200, {"events": found, "storeRevision": self.revision}
                    self.changed.wait(left)
        return 404, {}


def quiet_server(address, handler):
    class Server(ThreadingHTTPServer):
        daemon_threads = True
        allow_reuse_address = True
        request_queue_size = 128

        def handle_error(self, *_):
            pass

    server = Server(address, handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    return server


class Loop:
    """Sockets and timers of clients, targets and routers."""

    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.timers, self.number = [], 0
        self.steppers = []

    def udp(self, address, on_packet):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        sock.bind(address)
        sock.setblocking(False)
        self.selector.register(sock, selectors.EVENT_READ, on_packet)
        return sock

    def close(self, sock):
        self.selector.unregister(sock)
        sock.close()

    def at(self, when_ms, action):
        self.number += 1
        heapq.heappush(self.timers, (when_ms, self.number, action))

    def after(self, delay_ms, action):
        self.at(now_ms() + delay_ms, action)

    def every(self, period_ms, action):
        def again():
            if action() is not False:
                self.after(period_ms, again)
        self.after(period_ms, again)

    def run_until(self, is_done, limit_s):
        end = time.monotonic() + limit_s
        while time.monotonic() < end and not is_done():
            now = now_ms()
            while self.timers and self.timers[0][0] <= now:
                heapq.heappop(self.timers)[2]()
            for key, _ in self.selector.select(0.002):
                sock, on_packet = key.fileobj, key.data
                while True:
                    try:
                        raw, sender = sock.recvfrom(2048)
                    except (BlockingIOError, OSError):
                        break
                    on_packet(raw, sender)
            for step in list(self.steppers):
                step(now_ms())
        return is_done()

    def run_for(self, seconds):
        self.run_until(lambda: False, seconds)


class Links:
    """The links between zones: each passes what it gets after `delay_ms`, or nothing while it is cut.

    Each zone has a port that its machines use for all that they exchange with other machines. At a
    machine's address the ports of the other zones belong to this proxy, which forwards datagrams and
    connections from the address of their sender, so that both ends see each other's true address.
    """

    FIRST_PORT = 7_720

    def __init__(self, site, delay_ms):
        self.site, self.delay_ms = site, delay_ms
        self.zones, self.senders = {}, {}

    def port(self, zone):
        return self.FIRST_PORT + self.site.ZONES.index(zone)

    def add(self, host, zone):
        self.zones[host] = zone
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sender.bind((host, 0))
        sender.setblocking(False)
        self.senders[host] = sender
        for other in self.site.ZONES:
            if other == zone:
                continue
            self.site.loop.udp((host, self.port(other)), lambda raw, peer: self.forward(raw, peer[0], host))
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((host, self.port(other)))
            listener.listen(64)
            threading.Thread(target=self.accept, args=(listener, host), daemon=True).start()

    def forward(self, raw, sender, host):
        def send():
            try:
                self.senders[sender].sendto(raw, (host, self.port(self.zones[host])))
            except (KeyError, OSError):
                pass
        self.site.loop.after(self.delay_ms, send)

    def accept(self, listener, host):
        while True:
            near, (sender, _) = listener.accept()
            threading.Thread(target=self.connect, args=(near, sender, host), daemon=True).start()

    def connect(self, near, sender, host):
        # The handshake takes a round trip before the first byte can be sent.
        time.sleep(2 * self.delay_ms / 1000)
        far = socket.socket()
        try:
            far.bind((sender, 0))
            far.connect((host, self.port(self.zones[host])))
        except OSError:
            near.close()
            far.close()
            return
        for one, other in ((near, far), (far, near)):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.copy, args=(one, other), daemon=True).start()

    def copy(self, one, other):
        try:
            while data := one.recv(65536):
                time.sleep(self.delay_ms / 1000)
                other.sendall(data)
        except OSError:
            pass
        for sock in (one, other):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Target:
    """A target beside an agent; see PROTOCOL.md, "Targets" and "Service discovery"."""

    def __init__(self, site, host, zone, service, work_ms=20.0):
        self.site, self.host, self.zone, self.service, self.work_ms = site, host, zone, service, work_ms
        self.id = "t" + "".join(random.choice("0123456789abcdef") for _ in range(10))
        self.born = int(time.time() * 1000)
        self.address = (host, APP_PORT)
        self.state = "ready"
        self.sequence = 0
        self.half_open, self.flows, self.ended = {}, {}, set()
        self.running = []
        self.is_alive = True
        self.sock = site.loop.udp(self.address, self.on_packet)
        target = self

        class Health(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                good = target.state == "ready"
                self.send_response(200 if good else 503)
                self.send_header("Content-Length", "0")
                self.end_headers()

        self.health = quiet_server(self.address, Health)
        site.loop.steppers.append(self.step)
        self.heartbeat()

    def entry(self):
        return {"service": self.service, "address": f"{self.host}:{APP_PORT}", "zone": self.zone,
                "version": "v1", "slots": 4, "state": self.state, "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born}

    def heartbeat(self):
        if not self.is_alive:
            return
        self.write_entry()
        self.site.loop.after(HEARTBEAT_MS, self.heartbeat)

    def write_entry(self):
        """Reports to the store, where the entry changes when more than `sequence` changes."""
        self.sequence += 1
        key = f"servers/{self.id}"
        if self.site.store.value_but_sequence(key) != self.entry() | {"sequence": 0}:
            self.site.store.put(key, self.entry())

    def drain(self):
        """Reports that it drains; returns when the store has accepted the report."""
        self.state = "draining"
        self.write_entry()

    def send(self, packet):
        self.send_raw(packet.encode())

    def send_raw(self, raw):
        try:
            self.sock.sendto(raw, (self.host, OUTBOUND_PORT))
        except OSError:
            pass

    def on_packet(self, raw, _):
        packet = Packet.decode(raw)
        if packet is None or not packet.is_genuine() or packet.flags & RST:
            if packet is None or not packet.is_genuine():
                self.site.record.line(f"target {self.host} got a forged packet {raw[:32].hex()}")
                self.site.forged += 1
            else:
                self.flows.pop((packet.src, packet.dst), None)
            return
        key, now = (packet.src, packet.dst), now_ms()
        if packet.flags & SYN:
            if key in self.flows or key in self.ended:
                return
            if key not in self.half_open:
                self.half_open[key] = (random.getrandbits(32), packet.seq)
                self.site.on_opener(self, packet)
            seq, first = self.half_open[key]
            self.send(Packet(SYN | ACK, seq, first + 1, packet.dst, packet.src))
            return
        if key not in self.flows and key in self.half_open:
            seq, first = self.half_open[key]
            if packet.ack == (seq + 1) & 0xFFFFFFFF:
                del self.half_open[key]
                end = End(packet.dst, packet.src, seq + 1, first + 1)
                end.opened = now
                self.flows[key] = end
        end = self.flows.get(key)
        if end is not None:
            end.receive(packet, now)
        elif key in self.ended:
            if packet.data:
                self.send(Packet(RST, packet.ack, 0, packet.dst, packet.src))
            elif packet.flags & FIN:
                self.send(Packet(ACK, packet.ack, packet.seq + 1, packet.dst, packet.src))
        else:
            self.send_raw(bytes([raw[0] | BOUNCED, 0]) + raw[2:])

    def step(self, now):
        if not self.is_alive:
            return
        for key, end in self.flows.items():
            if getattr(end, "request", None) is None:
                message = take_message(end)
                if message is not None:
                    end.request = message
                    self.running.append((now + self.work_ms, key))
                    self.site.on_run(self, message)
        for due, key in [entry for entry in self.running if entry[0] <= now]:
            self.running.remove((due, key))
            end = self.flows.get(key)
            if end is not None:
                self.answer(end)
        for key, end in list(self.flows.items()):
            for packet in end.due(now):
                self.send(packet)
            if end.remote_closed and getattr(end, "request", None) is None:
                end.wants_close = True
            if end.is_closed() or end.resends > 8:
                del self.flows[key]
                self.ended.add(key)

    def answer(self, end):
        _, headers, _ = end.request
        request_id = headers["endivedyke-request-id"]
        body = (f"{self.service} {request_id} ".encode() * 60)[:2000]
        head = (f"HTTP/1.1 200 OK\r\nEndivedyke-Response-Signature: {signature(self.service, request_id, body)}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n")
        end.pending += head.encode() + body
        end.request = None
        if self.state == "draining":
            end.wants_close = True

    def discard_idle(self, idle_ms):
        """Forgets the flows that have been idle for so long."""
        for key, end in list(self.flows.items()):
            if now_ms() - end.last_ms >= idle_ms:
                del self.flows[key]

    def crash(self):
        self.is_alive = False
        self.site.loop.close(self.sock)
        self.health.shutdown()
        self.health.server_close()


class Client:
    """A client that keeps one flow for many requests, with pauses between them."""

    def __init__(self, site, host, zone, dst, service, pause_ms, is_safe=True, limit_ms=2_500.0):
        self.site, self.host, self.zone, self.dst, self.service = site, host, zone, dst, service
        self.is_safe = is_safe
        self.pause_ms, self.limit_ms = pause_ms, limit_ms
        self.port = 0
        self.fixed_port = None             # the only port that the client may use
        self.end = self.opening = None
        self.opened_ms = None
        self.request = None
        self.stopping = False
        self.next_at = now_ms() + random.uniform(0, pause_ms)
        site.loop.steppers.append(self.step)

    def send(self, packet):
        self.site.route(self.zone, packet)

    def open(self, now):
        self.port = self.fixed_port or self.site.next_port(self.host, self)
        self.opening = [random.getrandbits(32), now, 0]
        self.end = None
        self.send_opener(0)

    def send_opener(self, copy):
        self.send(Packet(SYN, self.opening[0], copy, (self.host, self.port), self.dst))

    def on_packet(self, packet, now):
        if packet.flags & RST:
            self.on_reset(packet, now)
            return
        if self.opening and packet.flags & (SYN | ACK) == SYN | ACK and packet.ack == (self.opening[0] + 1) & 0xFFFFFFFF:
            self.end = End((self.host, self.port), self.dst, self.opening[0] + 1, packet.seq + 1)
            self.opening, self.opened_ms = None, now
            self.send_request()
        elif self.end and not packet.flags & SYN:
            self.end.receive(packet, now)
            self.read_answer(now)

    def on_reset(self, packet, now):
        by_system = packet.is_system_reset()
        if self.end:
            distance = (packet.seq - self.end.expected) & 0xFFFFFFFF
            if by_system and min(distance, 2**32 - distance) > RESET_WINDOW:
                self.site.record.line(f"client {self.host}:{self.port} ignored a reset out of its window")
                return
            self.site.on_flow_reset(self, packet, by_system)
        elif not self.opening:
            return
        self.fail_attempt(now, "reset")

    def send_request(self):
        if self.request and self.end:
            self.request["sent"] = now_ms()
            method, body = ("GET", b"") if self.is_safe else ("POST", b"x" * 900)
            text = (f"{method} /feed HTTP/1.1\r\nHost: feed\r\nEndivedyke-Request-Id: {self.request['id']}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n")
            self.end.pending += text.encode() + body

    def read_answer(self, now):
        message = take_message(self.end)
        if message is None:
            if self.end.remote_closed:
                if self.request and self.request.get("sent"):
                    self.fail_attempt(now, "closed")
                else:
                    self.close()
            return
        if not self.request:
            self.site.wrong += 1
            self.site.record.line(f"client {self.host}:{self.port} got an answer that it didn't ask for")
            return
        _, headers, body = message
        request_id = self.request["id"]
        if headers.get("endivedyke-response-signature") != signature(self.service, request_id, body):
            self.site.wrong += 1
            self.site.record.line(f"answer {request_id} WRONG")
        else:
            self.site.answered += 1
            self.site.answered_ids.add(request_id)
            self.site.record.line(f"answer {request_id} after_ms={now - self.request['started']:.1f}")
        self.request = None
        self.next_at = now + random.uniform(0.5, 1.5) * self.pause_ms
        if self.end.remote_closed:
            self.close()

    def close(self):
        if self.end:
            self.end.wants_close = True
            for packet in self.end.due(now_ms()):
                self.send(packet)
        self.end = self.opening = None

    def fail_attempt(self, now, why):
        """Ends an attempt. It is retried twice, but an unsafe request only if its flow never opened."""
        was_open = self.end is not None
        self.end = self.opening = None
        if not self.request:
            return
        self.site.record.line(f"attempt {self.request['id']} ended: {why}")
        self.request["tries"] += 1
        may_retry = self.is_safe or not was_open
        if not may_retry or self.request["tries"] > 2 or now > self.request["started"] + self.limit_ms:
            self.give_up()
        else:
            self.site.sent += 1
            self.request["id"] = self.site.new_id()
            self.site.record.line(f"request {self.request['id']} (again) by {self.host}")
            self.open(now)

    def give_up(self):
        self.site.failed += 1
        self.site.record.line(f"request {self.request['id']} given up")
        self.request = None
        self.close()
        self.next_at = now_ms() + self.pause_ms

    def step(self, now):
        if self.request and now > self.request["started"] + self.limit_ms:
            self.give_up()
        if self.opening:
            seq, started, copies = self.opening
            if now - started >= 1_400:
                self.fail_attempt(now, "never opened")
            elif copies < 2 and now - started >= (200, 600)[copies]:
                self.opening[2] += 1
                self.send_opener(copies + 1)
        elif not self.request and now >= self.next_at and not self.stopping:
            self.request = {"id": self.site.new_id(), "started": now, "tries": 0}
            self.site.sent += 1
            self.site.record.line(f"request {self.request['id']} by {self.host}")
            # A flow is used for half of its longest age at most.
            if self.end and now - self.opened_ms > MAX_FLOW_S * 500:
                self.close()
            if self.end:
                self.send_request()
            else:
                self.open(now)
        if self.end:
            for packet in self.end.due(now):
                self.send(packet)

    def discard(self):
        """Forgets the flow, as either end may after `idleTimeoutMs`."""
        self.end = self.opening = None


class Site:
    """A small deployment: 4 balancers and 10 agents in 3 zones, like sites/pwz-lb.toml."""

    ZONES = ["zrh-a", "zrh-b", "zrh-c"]

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.temporary = tempfile.TemporaryDirectory()
        self.loop = Loop()
        self.net = self.free_net()
        self.store = Store((self.ip(2), STORE_PORT), self.record)
        self.processes = {}
        self.balancers, self.targets, self.clients = [], [], []
        self.rotation = {}
        self.router_sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.router_sock.bind((self.ip(1), 0))
        self.router_sock.setblocking(False)
        self.client_socks, self.by_port, self.last_port = {}, {}, {}
        self.sent = self.answered = self.failed = self.wrong = self.forged = 0
        self.ids = 0
        self.ran, self.resets, self.openers = {}, [], []
        self.answered_ids = set()
        self.version = 0
        self.is_probing = True
        self.is_first_start = True
        self.links = None
        self.seeds = [self.ip(10), self.ip(12), self.ip(13)]   # the first balancer of each zone

    def free_net(self):
        for _ in range(200):
            net = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
            try:
                self.lock = socket.socket()
                self.lock.bind((f"{net}.2", 8199))
                return net
            except OSError:
                self.lock.close()
        raise RuntimeError("no free loopback network")

    def ip(self, last):
        return f"{self.net}.{last}"

    def new_id(self):
        self.ids += 1
        return f"r{self.ids}"

    def write_config(self, routes, services=("panel-front", "study-intake"), idle_ms=60_000):
        """Writes the next configuration; returns when the store has acknowledged it."""
        self.version += 3
        wire_routes = [
            {"name": f"r{i}", "host": host, "prefix": f"/{port}/", "service": service, "kind": kind,
             "timeoutMs": timeout, "aimMs": aim, "priority": priority, "maxAttempts": 1}
            for i, (host, port, service, kind, timeout, aim, priority) in enumerate(routes)]
        wire_services = [{"name": s, "healthCheckPath": "/health", "slots": 4, "maxConnections": 2000,
                          "protocol": "http1", "tls": False} for s in services]
        self.store.put("op/config", {
            "version": self.version, "routes": wire_routes, "services": wire_services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000,
                       "idleTimeoutMs": idle_ms}})
        self.record.line(f"config version={self.version} acknowledged")

    # Processes of the product.

    def settings(self, role, host, zone, service=""):
        port = self.links.port(zone) if self.links else INTERNAL_PORT
        values = {
            "ip": host, "zone": zone, "internalPortRange.0": str(port),
            "listen.datagramAddr": f"{host}:{PACKET_PORT}", "listen.ready": f"{host}:{READY_PORT}",
            "listen.outbound": f"{host}:{OUTBOUND_PORT}", "app": f"{host}:{APP_PORT}",
            "service": service, "bounds.maxFlowS": str(MAX_FLOW_S),
            "bootstrap": "true" if self.is_first_start else "false",
            "platform.address": f"{self.ip(2)}:{STORE_PORT}",
            "seeds": ",".join(f"{seed}:{CONTROL_PORT}" for seed in self.seeds),
        }
        text = (REPOSITORY / "deploy" / f"{role}.ini").read_text()
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        return text

    def start(self, role, host, zone, service=""):
        path = pathlib.Path(self.temporary.name) / f"{host}.ini"
        path.write_text(self.settings(role, host, zone, service))
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
                       "ENDIVEDYKE_SETTINGS": str(path)}
        log = open(pathlib.Path(self.temporary.name) / f"{host}.log", "ab")
        process = subprocess.Popen([f"target/release/endivedyke-platform-{role}"], cwd=REPOSITORY,
                                   env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.processes[host] = (process, role, zone, service)
        self.record.line(f"start {role} {host} pid={process.pid}")
        return process

    def restart(self, host):
        _, role, zone, service = self.processes[host]
        self.is_first_start = False
        return self.start(role, host, zone, service)

    def kill(self, host, how=signal.SIGKILL):
        process = self.processes[host][0]
        self.record.line(f"signal {how.name} to {host}")
        process.send_signal(how)
        if how in (signal.SIGKILL, signal.SIGTERM):
            process.wait()

    def log_lines(self, host):
        return (pathlib.Path(self.temporary.name) / f"{host}.log").read_text(errors="replace").splitlines()

    def add_balancer(self, last, zone):
        host = self.ip(last)
        self.balancers.append((host, zone))
        self.rotation[host] = 2
        if self.links:
            self.links.add(host, zone)
        self.start("balancer", host, zone)
        threading.Thread(target=self.probe, args=(host,), daemon=True).start()

    def add_target(self, last, zone, service, work_ms=20.0):
        host = self.ip(last)
        target = Target(self, host, zone, service, work_ms)
        self.targets.append(target)
        if self.links:
            self.links.add(host, zone)
        self.start("agent", host, zone, service)
        return target

    def probe(self, host):
        while self.is_probing:
            self.rotation[host] = 0 if self.is_ready(host) else self.rotation[host] + 1
            time.sleep(0.5)

    def is_ready(self, host):
        connection = http.client.HTTPConnection(host, READY_PORT, timeout=0.4)
        try:
            connection.request("GET", "/api/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    # Routers and clients.

    def route(self, zone, packet):
        """Forwards a client's packet to a balancer of its zone, by a steady hash.

        If fewer than half of a zone's balancers are in rotation, all of them are used; if none is, those of
        the other zones.
        """
        near = [host for host, its_zone in self.balancers if its_zone == zone]
        ready = [host for host in near if self.rotation[host] < 2]
        if not ready:
            ready = [host for host, _ in self.balancers if self.rotation[host] < 2] or near
        elif 2 * len(ready) < len(near):
            ready = near
        text = f"{packet.src}{packet.dst}"
        host = max(ready, key=lambda h: zlib.crc32(f"{text}{h}".encode()) * 2654435761 % 2**32)
        try:
            self.router_sock.sendto(packet.encode(), (host, PACKET_PORT))
        except OSError:
            pass

    def next_port(self, host, client):
        port = self.last_port.get(host, 20_000) + 1
        self.last_port[host] = port
        self.by_port[(host, port)] = client
        return port

    def add_client(self, last, zone, dst, service, pause_ms, is_safe=True):
        host = self.ip(last)
        if host not in self.client_socks:
            self.client_socks[host] = self.loop.udp((host, PACKET_PORT), self.on_client_packet)
        client = Client(self, host, zone, dst, service, pause_ms, is_safe)
        self.clients.append(client)
        return client

    def on_client_packet(self, raw, _):
        packet = Packet.decode(raw)
        if packet is None or not (packet.is_genuine() or packet.is_system_reset()):
            self.forged += 1
            self.record.line(f"a client got a forged packet {raw[:32].hex()}")
            return
        client = self.by_port.get(packet.dst)
        if client and client.port == packet.dst[1] and packet.src == client.dst:
            client.on_packet(packet, now_ms())

    # What targets and clients see.

    def on_opener(self, target, packet):
        self.openers.append((now_ms(), target, packet.src, packet.dst))

    def on_run(self, target, message):
        request_id = message[1]["endivedyke-request-id"]
        self.ran[request_id] = self.ran.get(request_id, 0) + 1
        self.record.line(f"run {request_id} at {target.host}")

    def holder(self, client):
        key = ((client.host, client.port), client.dst)
        return next((t for t in self.targets if t.is_alive and key in t.flows), None)

    def on_flow_reset(self, client, packet, by_system):
        holder = self.holder(client)
        age_ms = now_ms() - client.opened_ms
        self.resets.append((now_ms(), client, holder, by_system, age_ms))
        self.record.line(
            f"reset of the open flow {client.host}:{client.port}, by {'the system' if by_system else 'its target'}; "
            f"held by {'target ' + holder.host if holder else 'no target'}, age_ms={age_ms:.0f}")

    def wrong_resets(self):
        """The resets by the system of flows that a living target holds (FLOW a)."""
        return [r for r in self.resets if r[2] is not None and r[3] and r[4] < MAX_FLOW_S * 1000]

    # The run as a whole.

    def start_all(self, work_ms=20.0, edges=((10, 0), (11, 0), (12, 1), (13, 2)), front=((0, 3), (1, 2), (2, 2)), intake=((0, 1), (1, 1), (2, 1))):
        for last, zone in edges:
            self.add_balancer(last, self.ZONES[zone])
        last = 100
        for service, counts in (("panel-front", front), ("study-intake", intake)):
            for zone, count in counts:
                for _ in range(count):
                    self.add_target(last, self.ZONES[zone], service, work_ms)
                    last += 1

    def wait_ready(self):
        def is_ready():
            return all(misses == 0 for misses in self.rotation.values())
        if not self.loop.run_until(is_ready, 15):
            raise RuntimeError("the site did not become ready")
        hosts = [t.host for t in self.targets]
        if not self.loop.run_until(lambda: all(self.is_ready(h) for h in hosts), 15):
            raise RuntimeError("the agents did not become ready")

    def finish(self):
        """Lets running requests end, then stops everything that was started."""
        for client in self.clients:
            client.stopping = True
        self.loop.run_until(lambda: not any(c.request for c in self.clients), 4)
        self.stop()

    def stop(self):
        self.is_probing = False
        for process, *_ in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process, *_ in self.processes.values():
            process.wait()

    def summary(self):
        unanswered = len(self.ran.keys() - self.answered_ids)
        return (f"{self.sent} requests sent, {self.answered} answered, {self.failed} given up, {self.wrong} wrong, "
                f"{unanswered} ran and were never answered, "
                f"{self.forged} forged packets, {len(self.resets)} resets of open flows, "
                f"{len(self.wrong_resets())} of them by the system while a living target held the flow")


def run_case(folder, case):
    """Runs case(site, has_trouble); exits with 11 if it returns broken rules, 10 if none, 2 if it couldn't run.

    run.sh turns 11 into 1 and 10 into 0, so that an error of the interpreter doesn't pass for a result.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    site, code = None, 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        site = Site(folder)
        broken = case(site, has_trouble)
    except Exception as error:  # whatever keeps the case from running
        print(f"the case could not run: {error!r}")
        if site:
            site.record.line(f"could not run: {error!r}")
        code = 2
    else:
        for text in broken:
            site.record.line(f"BROKEN {text}")
            print(f"BROKEN {text}", flush=True)
        site.record.line(site.summary())
        print(site.summary())
        code = 11 if broken else 10
    finally:
        if site:
            site.stop()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                subprocess.run(["cp", "-r", site.temporary.name, keep], check=False)
            site.record.close()
            site.temporary.cleanup()
    sys.stdout.flush()
    os._exit(code)
