# Guards against a caller that gets the status of one answer with the headers or
# the body of another. A target keeps its connections open and writes answers
# twice, late, and behind parts of other answers; it fails and refuses some
# requests, so that answers differ in their status.
. test/run/lib-platform.sh

REQUESTS=1200
stutter_config='{"version":"0000000c","routes":{"columns":["name","host",
"pathPrefix","kind","timeout","targetLatency","priority","service",
"maxAttempts","weightedClusters"],"rows":[["often","a.example","/often/",
"idempotent","1000ms","300ms",1,null,2,[{"service":"desk","weight":1}]],["once",
"a.example","/once/","non_idempotent","1000ms","300ms",1,null,2,
[{"service":"desk","weight":1}]]]},"services":{"columns":["name","sharded",
"warm"],"rows":[["desk",false,null]]},"limits":{"maxHeaderBytes":16384}}'

set_stutter() { # set_stutter PERCENT: prints how often each way was used
	curl -sf -m 5 \
		"http://127.0.0.1:$((PORT + 6))/control/stutter?percent=$1" ||
		fail "the target's control"
}

is_served() {
	[ "$(request_status 0 /once/x)" = 200 ]
}

start_process kv "$BIN/mpin-kvstore" "$KV"
wait_listening kv "$KV"
start_daemon 0 desk
start_server 0 desk i-0 --seed 34
put_config "$stutter_config"
wait_for 15 "service" is_served

set_stutter 50 >/dev/null
python3 - "$((PORT + 1))" "$REQUESTS" "$WORK/answers" <<'END'
# Sends requests from six callers, each on one connection, half of them
# idempotent. Writes a line of JSON for each answer.
import http.client, json, sys, threading

port, count, path = int(sys.argv[1]), int(sys.argv[2]), sys.argv[3]
answers = []

def ask(connection, number):
	attempt = "%016x" % number
	often = number % 2
	answer = {"id": attempt, "once": not often}
	try:
		connection.request("GET" if often else "POST",
			"/often/x" if often else "/once/x",
			headers={"Host": "a.example", "X-Attempt-Id": attempt,
				"X-Deadline-Remaining": "1000"})
		r = connection.getresponse()
		answer.update(status=r.status, body=r.read().decode("latin-1"),
			headers=[[n.lower(), v] for n, v in r.getheaders()])
	except (OSError, http.client.HTTPException) as e:
		answer["error"] = repr(e)
		connection.close()
	answers.append(answer)

def run_caller(first):
	connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
	for number in range(first, count + 1, 6):
		ask(connection, number)
	connection.close()

callers = [threading.Thread(target=run_caller, args=(i,)) for i in range(1, 7)]
for caller in callers:
	caller.start()
for caller in callers:
	caller.join()
with open(path, "w") as f:
	for answer in answers:
		f.write(json.dumps(answer) + "\n")
END
set_stutter 0 >"$WORK/stutters"
cat "$WORK/stutters" >&2

python3 - "$WORK/answers" "$WORK/s0.log" "$WORK/stutters" <<'END'
# Compares what callers got with what the target logged.
import collections, json, re, sys

answers = [json.loads(line) for line in open(sys.argv[1])]
runs = collections.Counter()
given = set()
for line in open(sys.argv[2]):
	words = line.split()
	if words[0] == "run":
		runs[words[1]] += 1
	elif words[0] == "answer":
		given.add(" ".join(words[1:]))
stutters = dict(line.split() for line in open(sys.argv[3]))

def find_fault(a):
	"""What is wrong with an answer, or None."""
	if "error" in a:
		return "no answer: " + a["error"]
	def get(name):
		return [v for n, v in a["headers"] if n == name]
	if get("x-attempt-id") != [a["id"]]:
		return "id %s" % get("x-attempt-id")
	if not get("x-answer"):
		# The daemon's own answer.
		if a["status"] < 429 or get("x-server-seal") or \
				not re.fullmatch("(not-run|unknown) [a-z_]+\n", a["body"]):
			return "neither the target's nor the daemon's"
		if a["body"].startswith("not-run") and runs[a["id"]]:
			return "not-run, but ran"
		counts[a["body"].split()[0]] += 1
		return None
	if len(get("x-answer")) != 1 or get("x-answer")[0] not in given:
		return "headers of answers %s" % get("x-answer")
	attempt, status, number = get("x-answer")[0].split()
	if attempt != a["id"]:
		return "answer to another request"
	if int(status) != a["status"]:
		return "status of another answer"
	if get("x-server-seal") != ["i-0"]:
		return "seal %s" % get("x-server-seal")
	filler = "0" * (int(number) * 37 % 400 + 1)
	if a["body"] != "%s %s\n" % (get("x-answer")[0], filler):
		return "body of another answer"
	counts["answered"] += 1
	return None

counts = collections.Counter()
faults = collections.Counter()
for a in answers:
	fault = find_fault(a)
	if fault:
		kind = re.sub(" [\\[(:].*", "", fault)
		faults[kind] += 1
		if faults[kind] == 1:
			print(fault, json.dumps(a), file=sys.stderr)
print(dict(counts), file=sys.stderr)
print("requests: %d" % len(answers))
print("wrong answers: %d" % sum(faults.values()))
for kind, n in sorted(faults.items()):
	print("  %s: %d" % (kind, n))
print("not idempotent and run twice: %d" %
	sum(a["once"] and runs[a["id"]] > 1 for a in answers))
print("proper answers: " + ("many" if counts["answered"] >=
	len(answers) // 3 else str(counts["answered"])))
for kind, n in stutters.items():
	print("%s: %s" % (kind, "often" if int(n) >= 50 else n))
END
