"""Measures the cost of a member and of the coordinator by nodes and shards.

Runs one fleet after another on loopback: a store stand-in, the daemons, and
one thread that announces a target to each daemon. Then prints a table and
linear fits. There are no bounds: the script fails only if a fleet cannot be
run. It ends each process that it starts by its id.
"""

import argparse
import calendar
import glob
import http.client
import json
import os
import re
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time

# (nodes, shards); the first belongs to both series, by nodes and by shards.
FLEETS = [(10, 1024), (40, 1024), (100, 1024), (200, 1024), (10, 8192),
	(10, 65536)]
TIME_LIMIT_S = 585  # leaves time to end the processes within ten minutes
MIN_TIME_LEFT_S = 45  # no fleet is started with less time left
WAIT_BEFORE_IDLE_S = 6
IDLE_S = 20
EDITS = 5
BIG_EDITS = 3
LOSSES = 3
WAIT_AFTER_JOIN_S = 4
STORE_OUTAGE_NODES = 40  # the fleet whose store goes down
STORE_OUTAGE_S = 6
ANNOUNCE_PERIOD_S = 2
PORTS_PER_FLEET = 800
# An IPv4 header and a TCP header with time stamps. For TCP, /metrics counts
# only the payload.
TCP_HEADER_BYTES = 20 + 32
BIG_DOCUMENT_SERVICES = 240
BIG_DOCUMENT_BYTES = 1000000
# Each daemon parses the whole document after an edit (tens of ms). If many
# daemons share few processors, they all miss their renewals in this time, which
# does not happen on separate VMs.
BIG_DOCUMENT_MAX_NODES = 40
LOAD_NODES = 4
LOAD_SHARDS = 64
LOAD_RATES = [400, 800, 1600]
LOAD_S = 6
SERVICE = "main"
CHECKS = ["fence", "deadline", "sender"]
UNUSED_TARGET_PORT = 9  # no request is sent to these targets
DATA_CENTRES = [("north", "n1"), ("north", "n2"), ("middle", "m1"),
	("middle", "m2"), ("south", "s1"), ("south", "s2")]


class TimeLimitReached(Exception):
	"""Raised by a signal, also the alarm after TIME_LIMIT_S."""


def on_signal(number, _frame):
	raise TimeLimitReached("signal %d" % number)


def http_request(port, path, method="GET", body=None, timeout=20):
	"""Returns status and body of the response from a local port."""
	c = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
	try:
		c.request(method, path, body)
		r = c.getresponse()
		return r.status, r.read().decode()
	finally:
		c.close()


def wait_for(seconds, what, check):
	"""Returns the first true result of check; raises after the seconds."""
	end = time.monotonic() + seconds
	while True:
		value = check()
		if value:
			return value
		if time.monotonic() > end:
			raise RuntimeError("waited too long: " + what)
		time.sleep(0.05)


class Announcer(threading.Thread):
	"""Announces a target to the daemon on each admin port in ports."""

	def __init__(self):
		super().__init__(daemon=True)
		self.ports = []
		self.checks = CHECKS
		self.ending = False

	def run(self):
		links = {}
		while not self.ending:
			begun = time.monotonic()
			body = json.dumps({"service": SERVICE,
				"address": "127.0.0.1", "port": UNUSED_TARGET_PORT,
				"concurrency": 20, "connections": 120,
				"checks": self.checks})
			for port in list(self.ports):
				link = links.setdefault(port,
					http.client.HTTPConnection("127.0.0.1",
					port, timeout=2))
				try:
					link.request("POST", "/announce", body)
					link.getresponse().read()
				except (OSError, http.client.HTTPException):
					link.close()
			time.sleep(max(0.1, ANNOUNCE_PERIOD_S -
				time.monotonic() + begun))
		for link in links.values():
			link.close()


def count_segments(direction, port):
	"""Counts segments and bytes of the established TCP connections.

	direction is "sport" or "dport". Returns None if ss is not installed.
	"""
	if not shutil.which("ss"):
		return None
	text = subprocess.run(["ss", "-Htni", "state", "established",
		"%s = :%d" % (direction, port)], capture_output=True,
		text=True, check=False).stdout
	total = {}
	for key in ("segs_in", "segs_out", "bytes_sent", "bytes_received"):
		total[key] = sum(int(n) for n in
			re.findall(r"\b%s:(\d+)" % key, text))
	return total


class Fleet:
	"""The processes of one fleet, and what is measured on it (result).

	A result for each role is a tuple: median member, mean standby,
	coordinator.
	"""

	def __init__(self, args, index, nodes, shards, work):
		self.args = args
		self.nodes = nodes
		self.shards = shards
		self.work = work
		self.port = args.port + index * PORTS_PER_FLEET
		self.names = ["n%03d" % i for i in range(nodes)]
		self.processes = {}  # name -> Popen
		self.announcer = Announcer()
		self.document = None
		self.result = {"nodes": nodes, "shards": shards}

	# ---- processes ----

	def first_port(self, name):
		return self.port + 1 + 3 * int(name[1:])

	def admin_port(self, name):
		return self.first_port(name) + 2

	def start_process(self, name, command):
		with open("%s/%s.log" % (self.work, name), "ab") as log:
			self.processes[name] = subprocess.Popen(command,
				stdout=log, stderr=log,
				stdin=subprocess.DEVNULL)

	def start_daemon(self, name):
		region, centre = DATA_CENTRES[int(name[1:]) % len(DATA_CENTRES)]
		path = "%s/%s.toml" % (self.work, name)
		first = self.first_port(name)
		with open(path, "w", encoding="utf-8") as f:
			f.write('[node]\nname = "%s"\nregion = "%s"\n'
				'data_centre = "%s"\n[listen]\n'
				'address = "127.0.0.1"\nhttp_port = %d\n'
				'peer_port = %d\nadmin_port = %d\n[store]\n'
				'endpoint = "http://127.0.0.1:%d"\n' % (name,
				region, centre, first, first + 1, first + 2,
				self.port))
		self.start_process(name, [self.args.bin + "/mpind", "--config",
			path])

	def kill(self, names):
		gone = [self.processes.pop(n) for n in names]
		self.announcer.ports = [p for p in self.announcer.ports
			if p not in [self.admin_port(n) for n in names
			if n != "store"]]
		for p in gone:
			p.kill()
		for p in gone:
			p.wait()

	def finish(self):
		self.announcer.ending = True
		self.kill(list(self.processes))

	def daemons(self):
		return [n for n in self.processes if n in self.names]

	# ---- requests ----

	def ctl(self, *arguments):
		return subprocess.run([self.args.bin + "/mpinctl", "--store",
			"http://127.0.0.1:%d" % self.port, *arguments],
			capture_output=True, text=True, timeout=90, check=False)

	def status(self):
		r = self.ctl("status", "--json")
		try:
			return json.loads(r.stdout) if r.stdout else None
		except ValueError:
			return None

	def store_counts(self):
		return json.loads(http_request(self.port, "/control/counts")[1])

	def scrape(self, name):
		"""Returns the metrics of a daemon, with the time as "at"."""
		at = time.monotonic()
		values = {"at": at}
		text = http_request(self.admin_port(name), "/metrics")[1]
		for line in text.splitlines():
			if line.startswith("#"):
				continue
			key, _, value = line.rpartition(" ")
			name, brace, labels = key.partition("{")
			name = name.removeprefix("monsoonpin_")
			name = name.removesuffix("_total")
			# This script calculates with times in microseconds.
			if name == "process_cpu_seconds":
				name = "process_cpu_us"
				value = float(value) * 1e6
			values[name + brace + labels] = float(value)
		return values

	def scrape_all(self):
		return {n: self.scrape(n) for n in self.daemons()}

	def coordinator(self):
		s = self.status()
		return s["coordinator"] if s else None

	# ---- state ----

	def all_live(self):
		s = self.status()
		return s and sum(n["state"] == "live" for n in s["nodes"]) == \
			len(self.daemons())

	def all_announced(self):
		s = self.status()
		return s and all(n["service"] for n in s["nodes"])

	def all_owned(self, without=()):
		"""Returns the status if no node in without owns a shard and all
		shards have an owner, else a false value."""
		s = self.status()
		if not s or not s["services"]:
			return None
		if any(n["name"] in without and n["slots"]
			for n in s["nodes"]):
			return None
		main = [v for v in s["services"] if v["name"] == SERVICE]
		return main and main[0]["owned"] == self.shards and s

	def write_document(self, big):
		def service(name, shards, nodes):
			return {"route": {"prefix": "/%s/" % name,
				"key": "segment"}, "shards": shards,
				"targets": {"regions": ["*"], "nodes": nodes},
				"weights": {"churn": 1, "imbalance": 1},
				"limits": {"queue": 64}}
		services = {SERVICE: service(SERVICE, self.shards, ["*"])}
		per = (BIG_DOCUMENT_BYTES - 2000) // BIG_DOCUMENT_SERVICES
		for i in range(BIG_DOCUMENT_SERVICES if big else 0):
			s = service("s%03d" % i, 1, [])
			room = per - len(json.dumps(s)) - 10
			s["targets"]["nodes"] = ["vm-%03d-%024d" % (i, k)
				for k in range(room // 36)]
			services["s%03d" % i] = s
		self.document = {"version": 1, "services": services, "stops": []}

	def apply(self):
		path = self.work + "/document.json"
		text = json.dumps(self.document)
		with open(path, "w", encoding="utf-8") as f:
			f.write(text)
		begun = time.monotonic()
		r = self.ctl("apply", path, "--wait-s", "40")
		if r.returncode:
			raise RuntimeError("apply: " + r.stderr.strip())
		return time.monotonic() - begun, len(text)

	# ---- measurements ----

	def counter_rates(self, before, after, keys):
		"""Returns the growth per second of the sum of counters, by node."""
		out = {}
		for name in after:
			if name not in before:
				continue
			span = after[name]["at"] - before[name]["at"]
			out[name] = sum(after[name].get(k, 0) -
				before[name].get(k, 0) for k in keys) / span
		return out

	def by_role(self, values, coordinator, standbys):
		"""Returns median member, mean standby and coordinator."""
		plain = [v for n, v in values.items()
			if n != coordinator and n not in standbys]
		stand = [values[n] for n in standbys if n in values]
		return (statistics.median(plain) if plain else 0,
			statistics.mean(stand) if stand else 0,
			values[coordinator])

	def measure_start(self):
		begun = time.monotonic()
		for n in self.names:
			self.start_daemon(n)
		wait_for(60, "all nodes live", self.all_live)
		self.result["start_s"] = time.monotonic() - begun
		counts = self.store_counts()
		self.result["start_store"] = {k: v["calls"] for k, v in
			counts.items() if isinstance(v, dict) and v["calls"]}
		# The slots are shared among the targets that are announced when
		# the document is applied. Later targets get slots only as the
		# limit on moves allows.
		self.announcer.ports = [self.admin_port(n) for n in self.names]
		self.announcer.start()
		wait_for(20, "announcements", self.all_announced)
		self.write_document(big=False)
		self.result["first_apply_s"] = self.apply()[0]
		begun = time.monotonic()
		wait_for(60, "owners", self.all_owned)
		self.result["owned_s"] = time.monotonic() - begun

	def measure_idle(self):
		coordinator = self.coordinator()
		peer = self.first_port(coordinator) + 1
		tcp0 = count_segments("sport", peer)
		store_tcp0 = count_segments("sport", self.port)
		store0 = self.store_counts()
		a, begun = self.scrape_all(), time.monotonic()
		time.sleep(IDLE_S)
		span = time.monotonic() - begun
		tcp1 = count_segments("sport", peer)
		store_tcp1 = count_segments("sport", self.port)
		store1 = self.store_counts()
		b = self.scrape_all()
		# A standby sends requests more than twice as often as other
		# members.
		asks = self.counter_rates(a, b, ["control_udp_messages_out"])
		standbys = [n for n, v in asks.items() if v > 4 and
			n != coordinator]
		r = self.result
		r["coordinator"] = coordinator
		r["standbys"] = standbys
		kinds = {
			"udp_messages": ["control_udp_messages_in",
				"control_udp_messages_out"],
			"udp_bytes": ["control_udp_bytes_in",
				"control_udp_bytes_out"],
			"tcp_bytes": ["control_tcp_bytes_in",
				"control_tcp_bytes_out"],
			"cpu": ["process_cpu_us"],
			"store_bytes": ["store_bytes_in", "store_bytes_out"],
			"store_range": ['store_calls{kind="range"}'],
			"store_txn": ['store_calls{kind="txn"}'],
			"store_lease": ['store_calls{kind="lease"}'],
			"store_watch": ['store_calls{kind="watch"}'],
		}
		for name, keys in kinds.items():
			values = self.counter_rates(a, b, keys)
			r[name] = self.by_role(values, coordinator, standbys)
			if name == "cpu":
				self.idle_cpu = values
			elif name == "tcp_bytes":
				self.idle_tcp = values
			elif name == "store_bytes":
				self.idle_store = values
		rss = {n: v["process_resident_bytes"] for n, v in b.items()}
		r["rss"] = self.by_role(rss, coordinator, standbys)
		calls = {k: (v["calls"] - store0[k]["calls"]) / span
			for k, v in store1.items() if isinstance(v, dict)}
		r["store_side"] = {k: v for k, v in calls.items() if v}
		r["waiting_watches"] = store1["waiting_watches"]
		r["segments"] = r["store_wire"] = None
		if tcp0 and tcp1:
			r["segments"] = sum(tcp1[k] - tcp0[k] for k in
				("segs_in", "segs_out")) / span
			r["store_wire"] = (sum(store_tcp1[k] - store_tcp0[k]
				for k in ("bytes_sent", "bytes_received")) +
				TCP_HEADER_BYTES * sum(store_tcp1[k] -
				store_tcp0[k] for k in ("segs_in",
				"segs_out"))) / span

	def measure_edits(self, label, count):
		"""Applies small edits of one service; costs are without those at
		idle."""
		r = self.result
		times = []
		a = self.scrape_all()
		for i in range(count):
			queue = 65 + i
			self.document["services"][SERVICE]["limits"]["queue"] = queue
			if label == "big":
				s = self.document["services"]["s000"]
				s["limits"]["queue"] = queue
				del self.document["services"][SERVICE]["limits"]
				self.document["services"][SERVICE]["limits"] = \
					{"queue": 64 + EDITS}
			times.append(self.apply()[0])
		time.sleep(1)
		b = self.scrape_all()
		r[label + "_edit_s"] = (statistics.median(times), max(times))
		for name, keys, idle in (
			("tcp", ["control_tcp_bytes_in",
				"control_tcp_bytes_out"], self.idle_tcp),
			("cpu", ["process_cpu_us"], self.idle_cpu),
			("store", ["store_bytes_in", "store_bytes_out"],
				self.idle_store)):
			extra = {}
			for n, rate in self.counter_rates(a, b, keys).items():
				span = b[n]["at"] - a[n]["at"]
				extra[n] = (rate - idle[n]) * span / count
			r["%s_edit_%s" % (label, name)] = self.by_role(extra,
				r["coordinator"], r["standbys"])

	def measure_big(self):
		self.write_document(big=True)
		self.document["services"][SERVICE]["limits"]["queue"] = 64 + EDITS
		seconds, size = self.apply()
		self.result["big_apply_s"] = seconds
		self.result["big_bytes"] = size
		time.sleep(2)
		self.measure_edits("big", BIG_EDITS)
		rss = {n: self.scrape(n)["process_resident_bytes"]
			for n in self.daemons()}
		self.result["big_rss"] = self.by_role(rss,
			self.result["coordinator"], self.result["standbys"])

	def log_events(self, since):
		"""Returns (time, node, line) of the logs since a wall time."""
		out = []
		for path in glob.glob(self.work + "/n*.log"):
			node = os.path.basename(path)[:-4]
			with open(path, encoding="utf-8", errors="replace") as f:
				for line in f:
					m = re.match(r"time=(\S+?)\.(\d{3})\S* ",
						line)
					if not m:
						continue
					at = calendar.timegm(time.strptime(
						m.group(1),
						"%Y-%m-%dT%H:%M:%S")) + \
						int(m.group(2)) / 1000
					if at >= since:
						out.append((at, node, line))
		return sorted(out)

	def measure_loss(self, label, names):
		"""Measures the time from the kill of these nodes to the log line
		of the last change of owners."""
		begun = time.time()
		before = self.scrape_all()
		held = {n["name"]: n["slots"] for n in self.status()["nodes"]}
		begun = time.time()
		self.kill(names)
		wait_for(20, "owners after a loss",
			lambda: self.all_owned(without=names))
		found = time.time() - begun
		events = [e for e in self.log_events(begun)
			if "event=map_changed" in e[2] and "slots=0 " not in e[2]
			and "lost" in e[2]]
		active = [e for e in self.log_events(begun)
			if "event=coordinator_active" in e[2]]
		time.sleep(1)
		after = self.scrape_all()
		r = self.result
		r[label + "_s"] = events[-1][0] - begun if events else None
		r[label + "_polled_s"] = found
		r[label + "_slots"] = sum(held.get(n, 0) for n in names)
		r[label + "_nodes"] = len(names)
		r[label + "_active_s"] = active[-1][0] - begun if active else None
		extra = []
		tcp = ["control_tcp_bytes_in", "control_tcp_bytes_out"]
		for n, rate in self.counter_rates(before, after, tcp).items():
			span = after[n]["at"] - before[n]["at"]
			if n in self.idle_tcp and n != r["coordinator"]:
				extra.append((rate - self.idle_tcp[n]) * span)
		r[label + "_tcp"] = statistics.median(extra)

	def other_members(self):
		"""Returns the daemons that are neither coordinator nor standby."""
		keep = self.result["standbys"] + [self.result["coordinator"]]
		return sorted(n for n in self.daemons() if n not in keep)

	def measure_single_losses(self):
		times, polled = [], []
		for i in range(LOSSES):
			# The node that rejoined after the first loss owns no slots
			# yet.
			name = self.other_members()[-1 if i == 0 else -2]
			self.measure_loss("one", [name])
			times.append(self.result["one_s"])
			polled.append(self.result["one_polled_s"])
			if len(times) == 1:
				self.measure_join(name)
		self.result["one_s"] = times
		self.result["one_polled_s"] = polled

	def measure_join(self, name):
		"""Measures what a join sends to the node and to the others."""
		before = self.scrape_all()
		self.start_daemon(name)
		self.announcer.ports.append(self.admin_port(name))
		wait_for(20, "node joined", self.all_live)
		time.sleep(WAIT_AFTER_JOIN_S)
		after = self.scrape_all()
		tcp = ["control_tcp_bytes_in", "control_tcp_bytes_out"]
		extra = {}
		for n, rate in self.counter_rates(before, after, tcp).items():
			span = after[n]["at"] - before[n]["at"]
			extra[n] = (rate - self.idle_tcp[n]) * span
		r = self.result
		r["join_other_tcp"], _, r["join_coordinator_tcp"] = self.by_role(
			extra, r["coordinator"], r["standbys"])
		r["join_node_tcp"] = sum(after[name][k] for k in tcp)
		self.idle_tcp[name] = statistics.median(self.idle_tcp.values())
		for idle in (self.idle_cpu, self.idle_store):
			idle[name] = statistics.median(idle.values())

	def measure_group_losses(self):
		plain = self.other_members()
		tenth = self.nodes // 10
		if tenth > 1:
			self.measure_loss("tenth", plain[-1 - tenth:-1])
		self.measure_loss("coordinator", [self.coordinator()])
		# Slots move 300 ms later if their targets check no deadline.
		self.announcer.checks = ["fence"]
		time.sleep(2 * ANNOUNCE_PERIOD_S)
		coordinator = self.coordinator()
		self.measure_loss("unchecked", [coordinator])

	def measure_outage(self):
		r = self.result
		coordinator = r["coordinator"]
		a = self.scrape_all()
		begun = time.monotonic()
		http_request(self.port, "/control/down?mode=refuse", "POST", "")
		held = wait_for(10, "hold", lambda: json.loads(http_request(
			self.admin_port(coordinator),
			"/status")[1]).get("hold")) and \
			time.monotonic() - begun
		time.sleep(max(0, STORE_OUTAGE_S - held))
		b = self.scrape_all()
		http_request(self.port, "/control/up", "POST", "")
		begun = time.monotonic()
		wait_for(20, "end of the hold", lambda: json.loads(http_request(
			self.admin_port(coordinator),
			"/status")[1]).get("hold") is False)
		r["outage_hold_s"] = held
		r["outage_end_s"] = time.monotonic() - begun
		for name, keys in (("calls", ['store_calls{kind="%s"}' % k for k
			in ("range", "txn", "lease", "watch")]),
			("udp", ["control_udp_bytes_in",
				"control_udp_bytes_out"])):
			r["outage_" + name] = self.by_role(
				self.counter_rates(a, b, keys), coordinator,
				r["standbys"])
		time.sleep(2)

	def run(self):
		self.start_process("store", [self.args.bin + "/mpin-store",
			"--address", "127.0.0.1", "--port", str(self.port)])
		wait_for(10, "store", self.store_is_up)
		self.measure_start()
		time.sleep(WAIT_BEFORE_IDLE_S)
		self.measure_idle()
		self.measure_edits("small", EDITS)
		if self.nodes == STORE_OUTAGE_NODES:
			self.measure_outage()
		self.measure_single_losses()
		if self.nodes <= BIG_DOCUMENT_MAX_NODES:
			self.measure_big()
		self.measure_group_losses()

	def run_load(self):
		"""Measures the cost of requests, which real targets answer."""
		self.start_process("store", [self.args.bin + "/mpin-store",
			"--address", "127.0.0.1", "--port", str(self.port)])
		wait_for(10, "store", self.store_is_up)
		for i, n in enumerate(self.names):
			self.start_daemon(n)
			self.start_process("target-" + n, [self.args.bin +
				"/mpin-target", "--name", n, "--service", SERVICE,
				"--port", str(self.port + 700 + i), "--daemon",
				"127.0.0.1:%d" % self.admin_port(n),
				"--concurrency", "100", "--queue", "100",
				"--service-ms", "2", "--checks",
				"fence,deadline,sender"])
		wait_for(30, "targets",
			lambda: self.all_live() and self.all_announced())
		self.write_document(big=False)
		self.apply()
		wait_for(20, "owners", self.all_owned)
		time.sleep(3)
		self.result["loads"] = [self.measure_load(r) for r in LOAD_RATES]

	def measure_load(self, rate):
		report = self.work + "/report.txt"
		command = [self.args.bin + "/mpin-load", "--services",
			"%s:/%s/:1" % (SERVICE, SERVICE), "--rate", str(rate),
			"--seconds", str(LOAD_S + 2), "--keys", "2000",
			"--report", report]
		for n in self.names:
			command += ["--to", "127.0.0.1:%d" % self.first_port(n)]
		self.start_process("load", command)
		time.sleep(1)
		a = self.scrape_all()
		time.sleep(LOAD_S)
		b = self.scrape_all()
		self.processes.pop("load").wait(30)
		with open(report, encoding="utf-8") as f:
			line = re.search(r"^  all +\d.*$", f.read(), re.M)
		tcp = self.counter_rates(a, b, ["control_tcp_bytes_in",
			"control_tcp_bytes_out"])
		tcp.pop(self.coordinator(), None)
		cpu = self.counter_rates(a, b, ["process_cpu_us"])
		return (rate, sum(cpu.values()), statistics.median(tcp.values()),
			line.group(0).split()[1:] if line else [])

	def store_is_up(self):
		try:
			return self.store_counts()
		except OSError:
			return None


def fit_line(points):
	"""Returns slope, intercept and largest residual by least squares."""
	n = len(points)
	mx = sum(p[0] for p in points) / n
	my = sum(p[1] for p in points) / n
	var = sum((p[0] - mx) ** 2 for p in points)
	if not var:
		return None
	slope = sum((p[0] - mx) * (p[1] - my) for p in points) / var
	rest = my - slope * mx
	return slope, rest, max(abs(p[1] - slope * p[0] - rest)
		for p in points)


# The functions below return functions that take a value from a Fleet's result;
# see ROWS.


def member(key):
	return lambda r: r[key][0]


def standby(key):
	return lambda r: r[key][1]


def coordinator(key):
	return lambda r: r[key][2]


def scaled(f, factor):
	return lambda r: f(r) * factor


def value(key):
	return lambda r: r[key]


def segments_per_member(r):
	"""Segments were counted on the coordinator, for all its members."""
	return r["segments"] / r["nodes"]


def control_bytes(role):
	"""Adds UDP with headers, TCP payload, and the headers of TCP segments."""
	def f(r):
		share = r["segments"] if role == 2 else segments_per_member(r)
		return r["udp_bytes"][role] + r["tcp_bytes"][role] + \
			share * TCP_HEADER_BYTES
	return f


def store_calls(role):
	return lambda r: sum(r["store_" + k][role]
		for k in ("range", "txn", "lease", "watch"))


MB = 1 / 1e6
# (label, function of a Fleet's result); without a function, a heading.
ROWS = [
	("idle, member", None),
	("UDP messages/s, in and out", member("udp_messages")),
	("UDP B/s with headers", member("udp_bytes")),
	("TCP payload B/s", member("tcp_bytes")),
	("TCP segments/s (x 52 B of headers)", segments_per_member),
	("control B/s, headers included", control_bytes(0)),
	("CPU ms/s", scaled(member("cpu"), 1e-3)),
	("resident MB", scaled(member("rss"), MB)),
	("store calls/s", store_calls(0)),
	("idle, standby", None),
	("UDP messages/s, in and out", standby("udp_messages")),
	("UDP B/s with headers", standby("udp_bytes")),
	("control B/s, headers included", control_bytes(1)),
	("CPU ms/s", scaled(standby("cpu"), 1e-3)),
	("idle, coordinator", None),
	("UDP messages/s, in and out", coordinator("udp_messages")),
	("UDP B/s with headers", coordinator("udp_bytes")),
	("TCP payload B/s", coordinator("tcp_bytes")),
	("TCP segments/s (x 52 B of headers)", value("segments")),
	("control B/s, headers included", control_bytes(2)),
	("CPU ms/s", scaled(coordinator("cpu"), 1e-3)),
	("resident MB", scaled(coordinator("rss"), MB)),
	("store range/s", coordinator("store_range")),
	("store txn/s", coordinator("store_txn")),
	("store lease/s", coordinator("store_lease")),
	("store watch/s", coordinator("store_watch")),
	("watches that wait", value("waiting_watches")),
	("store body B/s", coordinator("store_bytes")),
	("store B/s on the wire, headers included", value("store_wire")),
	("small document, small edit", None),
	("in force after s, median", lambda r: r["small_edit_s"][0]),
	("in force after s, worst", lambda r: r["small_edit_s"][1]),
	("member TCP payload B", member("small_edit_tcp")),
	("member CPU ms", scaled(member("small_edit_cpu"), 1e-3)),
	("coordinator CPU ms", scaled(coordinator("small_edit_cpu"), 1e-3)),
	("coordinator store body B", coordinator("small_edit_store")),
	("document near a megabyte", None),
	("document B", value("big_bytes")),
	("first apply, in force after s", value("big_apply_s")),
	("small edit in force after s, median", lambda r: r["big_edit_s"][0]),
	("small edit in force after s, worst", lambda r: r["big_edit_s"][1]),
	("member TCP payload B an edit", member("big_edit_tcp")),
	("member CPU ms an edit", scaled(member("big_edit_cpu"), 1e-3)),
	("coordinator CPU ms an edit", scaled(coordinator("big_edit_cpu"), 1e-3)),
	("coordinator store body B an edit", coordinator("big_edit_store")),
	("member resident MB", scaled(member("big_rss"), MB)),
	("coordinator resident MB", scaled(coordinator("big_rss"), MB)),
	("start of all nodes", None),
	("all live after s", value("start_s")),
	("first document in force after s", value("first_apply_s")),
	("all owned after s more", value("owned_s")),
	("store range calls", lambda r: r["start_store"].get("range", 0)),
	("store txn calls", lambda r: r["start_store"].get("txn", 0)),
	("losses", None),
	("one member: reassigned after s, median",
		lambda r: statistics.median(r["one_s"])),
	("one member: reassigned after s, worst", lambda r: max(r["one_s"])),
	("one member: slots", value("one_slots")),
	("one member: TCP payload B a member", value("one_tcp")),
	("a tenth: nodes", lambda r: r.get("tenth_nodes")),
	("a tenth: reassigned after s", lambda r: r.get("tenth_s")),
	("a tenth: slots", lambda r: r.get("tenth_slots")),
	("a tenth: TCP payload B a member", lambda r: r.get("tenth_tcp")),
	("coordinator: successor active after s",
		value("coordinator_active_s")),
	("coordinator: reassigned after s", value("coordinator_s")),
	("the same, targets check no deadline", value("unchecked_s")),
	("one restart", None),
	("TCP payload B to the node that joins", value("join_node_tcp")),
	("TCP payload B to each other member", value("join_other_tcp")),
	("TCP payload B of the coordinator", value("join_coordinator_tcp")),
	("store down", None),
	("hold after s", lambda r: r.get("outage_hold_s")),
	("hold ended s after the store's return",
		lambda r: r.get("outage_end_s")),
	("coordinator store calls/s", lambda r: r["outage_calls"][2]),
	("member store calls/s", lambda r: r["outage_calls"][0]),
	("member UDP B/s", lambda r: r["outage_udp"][0]),
]


def row_value(f, r):
	try:
		v = f(r)
	except (KeyError, TypeError):
		return None
	return v


def format_value(v, width):
	if v is None:
		return "-".rjust(width)
	if abs(v) >= 1000:
		return ("%.0f" % v).rjust(width)
	return ("%.3g" % v).rjust(width)


def print_table(results):
	print("%-42s" % "nodes" + "".join("%10d" % r["nodes"] for r in results))
	print("%-42s" % "shards" + "".join("%10d" % r["shards"]
		for r in results))
	for name, f in ROWS:
		if f is None:
			print("\n" + name)
			continue
		print("  %-40s" % name + "".join(format_value(row_value(f, r), 10)
			for r in results))


def print_fits(results, key, unit):
	print("\nlinear fits over %s: value = slope x %s + intercept" %
		(unit, unit))
	print("%-42s%12s%12s%12s" % ("", "slope", "intercept",
		"residual"))
	for name, f in ROWS:
		if f is None:
			print(name)
			continue
		points = [(r[key], row_value(f, r)) for r in results]
		points = [p for p in points if p[1] is not None]
		line = fit_line(points) if len(points) > 2 else None
		if line:
			print("  %-40s%12.4g%12.4g%12.3g" % ((name,) + line))


def print_results(results):
	if not results:
		return
	print_table(results)
	nodes = [r for r in results if r["shards"] == FLEETS[0][1]]
	shards = [r for r in results if r["nodes"] == FLEETS[0][0]]
	print_fits(nodes, "nodes", "nodes")
	print_fits(shards, "shards", "shards")


def half_memory():
	with open("/proc/meminfo", encoding="ascii") as f:
		return int(f.readline().split()[1]) * 1024 / 2


def fleet_fits_memory(results, nodes):
	"""Tells by the earlier fleets' use if the fleet fits half the memory."""
	members = max((r["rss"][0] for r in results if "rss" in r), default=0)
	coordinators = max((r["big_rss"][2] for r in results
		if "big_rss" in r), default=0)
	return members * nodes + coordinators < half_memory()


def print_load(result):
	if "loads" not in result:
		return
	print("\n%d nodes with targets of 2 ms, requests to any node" %
		LOAD_NODES)
	print("%12s%16s%25s%9s%8s%8s%8s%8s%8s" % ("requests/s",
		"CPU ms/s, all", "control TCP B/s, member", "answers",
		"p50 ms", "p90", "p99", "p99.9", "max"))
	for rate, cpu, tcp, line in result["loads"]:
		print("%12d%16.1f%25.1f %8s" % (rate, cpu / 1000, tcp,
			"".join(x.rjust(8) for x in line)))
	line = fit_line([(x[0], x[1]) for x in result["loads"]])
	print("CPU us/s = %.4g x requests/s + %.4g, residual %.3g" % line)


def run_fleet(args, index, nodes, shards, load=False):
	work = tempfile.mkdtemp(prefix="mpin-slopes-")
	fleet = Fleet(args, index, nodes, shards, work)
	begun = time.monotonic()
	try:
		if load:
			fleet.run_load()
		else:
			fleet.run()
	except (RuntimeError, OSError, ValueError, KeyError, TypeError) as e:
		print("# %d nodes, %d shards: %s" % (nodes, shards, e))
		fleet.result["error"] = str(e)
	finally:
		fleet.finish()
		if args.keep or fleet.result.get("error"):
			print("# logs kept in", os.path.basename(work))
		else:
			shutil.rmtree(work)
	print("# %d nodes, %d shards: %.0f s, load average of the machine %.1f" %
		(nodes, shards, time.monotonic() - begun, os.getloadavg()[0]),
		flush=True)
	return fleet.result


def main():
	parser = argparse.ArgumentParser()
	parser.add_argument("--bin", required=True)
	parser.add_argument("--port", type=int, default=24000)
	parser.add_argument("--only", type=int, action="append",
		help="index of a fleet; trials only")
	parser.add_argument("--keep", action="store_true")
	args = parser.parse_args()
	for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
		signal.signal(number, on_signal)
	signal.alarm(TIME_LIMIT_S)
	begun = time.monotonic()
	results = []
	loaded = {}
	status = 0
	try:
		if not args.only:
			loaded = run_fleet(args, len(FLEETS), LOAD_NODES,
				LOAD_SHARDS, load=True)
			status |= "error" in loaded
		for i, (nodes, shards) in enumerate(FLEETS):
			if args.only and i not in args.only:
				continue
			if time.monotonic() - begun > TIME_LIMIT_S - MIN_TIME_LEFT_S or \
				not fleet_fits_memory(results, nodes):
				print("# %d nodes, %d shards: left out, no "
					"time or memory" % (nodes, shards))
				status = 1
				continue
			r = run_fleet(args, i, nodes, shards)
			results.append(r)
			status |= "error" in r
	except TimeLimitReached as e:
		print("# stopped early:", e)
		status = 1
	signal.alarm(0)
	print("# %d processors, %.0f s in all" % (os.cpu_count(),
		time.monotonic() - begun))
	print_results(results)
	print_load(loaded)
	return status


if __name__ == "__main__":
	sys.exit(main())
