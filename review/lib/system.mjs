/**
 * Starts the programs of `deploy/system.toml` as separate processes on loopback
 * addresses, with settings like those of a small deployment, and plays the
 * platform beside them: operator, clients and the list of machines.
 */
import {spawn} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import {
  createWriteStream,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {call, serve} from './http.mjs';
import {nowMs, record} from './record.mjs';

const ROOT = resolve(import.meta.dirname, '..', '..');
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
export const CONTROL_PORT = 8345;
const FRONT_PORT = 8340;
const READY_PORT = 8343;
const PROVIDER_PORT = 8344;
const MINION_PORT = 8080;
const LINK_PORTS = [7000, 7015];
const METRICS_PORT = 9464;
const GRACE_S = 6;

/** Command lines of the roles, by role, from the deploy file. */
function readRuns() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const runs = {};
  for (const section of text.split(/^\[roles\./m).slice(1)) {
    const name = section.slice(0, section.indexOf(']'));
    runs[name] = /^run = "(.*)"$/m.exec(section)[1].split(' ');
  }
  return runs;
}

function isFree(host, port) {
  return new Promise(done => {
    const server = createServer();
    server.once('error', () => done(false));
    server.listen(port, host, () => server.close(() => done(true)));
  });
}

/** A loopback network `127.A.B` on which the ports of the case are free. */
async function findNetwork() {
  for (let attempt = 0; attempt < 50; attempt++) {
    const [a, b] = randomBytes(2);
    const network = `127.${1 + (a % 250)}.${1 + (b % 250)}`;
    const ports = [
      CONTROL_PORT,
      FRONT_PORT,
      READY_PORT,
      PROVIDER_PORT,
      MINION_PORT,
      LINK_PORTS[0],
      METRICS_PORT,
    ];
    const free = await Promise.all(
      ports.map(port => isFree(`${network}.11`, port)),
    );
    if (free.every(Boolean)) return network;
  }
  throw new Error('no free loopback network');
}

export async function startSystem({controls = 3, fronts = 2} = {}) {
  const network = await findNetwork();
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const runs = readRuns();
  const provider = `${network}.250:${PROVIDER_PORT}`;
  const nodes = new Map();
  const seedIps = Array.from(
    {length: controls},
    (_, i) => `${network}.${11 + i}`,
  );
  for (let i = 0; i < controls; i++) {
    nodes.set(`core-${i + 1}`, {
      name: `core-${i + 1}`,
      role: 'control',
      ip: seedIps[i],
      zone: ZONES[i % 3],
    });
  }
  for (let i = 0; i < fronts; i++) {
    nodes.set(`front-${i + 1}`, {
      name: `front-${i + 1}`,
      role: 'entry',
      ip: `${network}.${31 + i}`,
      zone: ZONES[i % 3],
    });
  }

  function settings({name, role, ip, zone}, bootstrap) {
    const isCore = role === 'control';
    const listen = isCore
      ? `control = "${ip}:${CONTROL_PORT}"`
      : `front = "${ip}:${FRONT_PORT}"\nready = "${ip}:${READY_PORT}"`;
    return `node_id = "${name}"
role = "${role}"
machine_class = "${isCore ? 'core' : 'front'}"
serves = ["${isCore ? 'control' : 'front'}"]
ip = "${ip}"
zone = "${zone}"
region = "region-1"
port_range = [${LINK_PORTS.join(',')}]
seeds = [${seedIps.map(seed => `"${seed}:${CONTROL_PORT}"`).join(',')}]
bootstrap = ${bootstrap}
loss_counts = ${isCore}
discovery = "registry"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","advice","upkeep","sharing"]
config_mode = "highest"
orders = "call"
advice = "${network}.249:${PROVIDER_PORT}"
${isCore ? `data_dir = "${join(folder, name)}"` : ''}
[zones]
${ZONES.map(each => `${each} = "region-1"`).join('\n')}
[listen]
${listen}
[limits]
cpu_share = 1.0
cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = ${isCore ? 128 : 0}
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = ${GRACE_S}
config_apply_ms = 2000
max_hold_ms = 6000
stop_grace_ms = 200
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
lease_ms = 3000
[cloud_api]
address = "${provider}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
`;
  }

  function start(name, bootstrap = false) {
    const node = nodes.get(name);
    if (node.role === 'control')
      mkdirSync(join(folder, name), {recursive: true});
    const path = join(folder, `${name}.toml`);
    writeFileSync(path, settings(node, bootstrap));
    const [program, ...args] = runs[node.role];
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {PATH, HOME, ...(LANG && {LANG}), LENTILDRIFT_SETTINGS: path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(folder, `${name}.log`), {flags: 'a'});
    let rest = '';
    child.stdout.on('data', chunk => {
      log.write(chunk);
      const lines = (rest + chunk).split('\n');
      rest = lines.pop();
      for (const line of lines)
        for (const watch of logWatchers) watch(name, line);
    });
    child.stderr.pipe(log);
    node.child = child;
    node.exited = new Promise(done =>
      child.once('exit', (code, signal) => {
        node.child = undefined;
        record('process-exit', {name, code, signal});
        done();
      }),
    );
    record('process-start', {name, pid: child.pid});
  }

  const logWatchers = new Set();
  let leader;
  logWatchers.add((name, line) => {
    // The log line `leading` is written by the process that acts as leader.
    if (
      / event=leading |"event":"leading"|\bleading\b/.test(line) &&
      !/not-leading/.test(line) &&
      /token/.test(line)
    ) {
      leader = name;
      record('leader', {name});
    }
  });

  function signal(name, sent) {
    record('signal', {name, signal: sent});
    nodes.get(name).child?.kill(sent);
  }

  // The list of machines. The case never lets them move between pools.
  const machines = new Map();
  const providerServer = await serve(provider, async ({method, path}) => {
    if (method === 'GET' && path.startsWith('/machines')) {
      return {
        status: 200,
        body: {machines: [...machines.values()], next_token: ''},
      };
    }
    record('machine-order', {method, path});
    return {status: 409, body: {reason: 'busy'}};
  });

  for (const {name} of nodes.values()) start(name, true);

  const coreNames = [...nodes.keys()].filter(
    name => nodes.get(name).role === 'control',
  );
  const frontNames = [...nodes.keys()].filter(
    name => nodes.get(name).role === 'entry',
  );
  const controlAddress = name => `${nodes.get(name).ip}:${CONTROL_PORT}`;
  const frontAddress = name => `${nodes.get(name).ip}:${FRONT_PORT}`;

  /** Sends the configuration until it is acknowledged. */
  async function putConfig(config) {
    for (let at = 0; ; at++) {
      if (nowMs() > 60_000)
        throw new Error('no acknowledgement of the configuration');
      const control = controlAddress(coreNames[at % coreNames.length]);
      try {
        const {status} = await call({
          address: control,
          method: 'PUT',
          path: '/config',
          body: config,
          timeoutMs: 1000,
        });
        if (status === 200) {
          record('config-acknowledged', {version: config.version});
          return;
        }
      } catch {
        // Sent again to the next one.
      }
      await sleep(200);
    }
  }

  /** One call of a client; resolves with undefined if no answer came. */
  async function callOnce({
    front,
    method,
    host,
    path,
    key,
    body,
    deadlineMs = 3000,
  }) {
    try {
      const {status, body: answer} = await call({
        address: frontAddress(front),
        method,
        path,
        timeoutMs: deadlineMs,
        headers: {
          host,
          'lentildrift-deadline-ms': String(deadlineMs),
          ...(key && {authorization: `Token ${key}`}),
        },
        body,
      });
      return {status, body: answer};
    } catch {
      return undefined;
    }
  }

  /**
   * A client's call: sent again to another node after no answer, 502, 503, 429
   * and 504. Resolves with the last answer.
   */
  async function callAsClient(request, {tries = 6, pauseMs = 500} = {}) {
    let answer;
    for (let at = 0; at < tries; at++) {
      const front = frontNames[(at + Math.floor(nowMs())) % frontNames.length];
      answer = await callOnce({...request, front});
      record('client', {
        method: request.method,
        path: request.path,
        front,
        status: answer?.status ?? 'none',
        body: answer?.body ?? '',
      });
      if (answer && ![429, 502, 503, 504].includes(answer.status))
        return answer;
      await sleep(pauseMs);
    }
    return answer;
  }

  async function stop() {
    for (const {child} of nodes.values()) {
      child?.kill('SIGCONT');
      child?.kill('SIGKILL');
    }
    await Promise.all([...nodes.values()].map(({exited}) => exited));
    providerServer.close();
    if (process.env.KEEP_LOGS) record('logs', {folder});
    else rmSync(folder, {recursive: true, force: true});
  }

  return {
    network,
    folder,
    machines,
    nodes,
    coreNames,
    frontNames,
    controlAddress,
    frontAddress,
    adviserAddress: `${network}.249:${PROVIDER_PORT}`,
    minionAddress: at => `${network}.${100 + at}:${MINION_PORT}`,
    logWatchers,
    leader: () => leader,
    start,
    signal,
    putConfig,
    callOnce,
    callAsClient,
    stop,
  };
}

/** A configuration with one queue for each pool. */
export function createConfig({version = 1, queues, tenants}) {
  return {
    version,
    routes: queues.map(
      ({
        name,
        service,
        maxAttempts = 3,
        timeoutMs = 3000,
        open = false,
        advice,
      }) => ({
        name,
        host: 'jobs.example',
        path_prefix: `/${name}/`,
        kind: 'unsafe',
        timeout_ms: timeoutMs,
        target_latency_ms: 20000,
        priority: 0,
        service,
        max_attempts: maxAttempts,
        stretch: 20,
        public: open,
        ...(advice && {advice}),
      }),
    ),
    services: [...new Set(queues.map(({service}) => service))].map(name => ({
      name,
      health_path: '/health',
      max_conns: 64,
      protocol: 'h1',
      tls: false,
      rejects_overload: false,
      standby: false,
    })),
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 262144,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: tenants ?? [
      {
        name: 'tenant-1',
        api_keys: ['key-1'],
        priority: 1,
        weight: 10,
        cap: {cpu: 0, mem_mb: 0, gpu: 0},
      },
    ],
  };
}

export const newJobId = () => randomBytes(8).toString('hex');
export {sleep};
