/**
 * A small deployment on loopback: the project's own programs as separate
 * processes, started with the `run` lines of `deploy/system.toml`.
 */
import {spawn} from 'node:child_process';
import {
  closeSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

export const ROOT = join(import.meta.dirname, '..', '..');

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Loopback addresses that no other run of a script is likely to use. */
const NET = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
let lastHost = 0;
export const newIp = () => `${NET}.${++lastHost}`;

/** Resolves with a port that is free on the address. */
export function freePort(ip) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, ip, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** The words of the `run` line of a role in the deploy file. */
function runWords(role) {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1];
  const run = /^run = "(.*)"$/m.exec(section)?.[1];
  if (!run) throw new Error(`the deploy file has no run line for ${role}`);
  return run.split(' ');
}

/** Bounds of the site gerelt-rota. */
export const BOUNDS = {
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 6,
  config_apply_ms: 2000,
  recovery_s: 12,
  max_hold_ms: 6000,
  stop_grace_ms: 900,
  cancel_ms: 3000,
  visible_ms: 3000,
  finish_s: 14,
  lease_ms: 3000,
};

/**
 * Creates the deployment; `controls` and `entries` are numbers of processes.
 * `platformAddress` is that of the stand-in for the platform.
 */
export async function createDeployment({
  controls = 3,
  entries = 2,
  platformAddress,
  adviserAddress = platformAddress,
  zones = ['ub-a', 'ub-b', 'ub-c'],
  record,
}) {
  const folder = mkdtempSync(join(tmpdir(), 'lentildrift-review-'));
  const processes = [];

  async function add(role, index) {
    const ip = newIp();
    const serves = role === 'entry' ? ['front'] : ['control'];
    const linkPort = await freePort(ip);
    const name = `${role}-${index + 1}`;
    const own = {
      name,
      role,
      ip,
      zone: zones[index % zones.length],
      linkPort,
      listen: {},
      serves,
      child: undefined,
      starts: 0,
      exits: [],
      folder: join(folder, name),
    };
    if (role === 'entry') {
      own.listen.front = `${ip}:${await freePort(ip)}`;
      own.listen.ready = `${ip}:${await freePort(ip)}`;
    } else {
      own.listen.control = `${ip}:${await freePort(ip)}`;
    }
    mkdirSync(join(own.folder, 'data'), {recursive: true});
    processes.push(own);
    return own;
  }
  for (let i = 0; i < controls; i++) await add('control', i);
  for (let i = 0; i < entries; i++) await add('entry', i);

  // The port for links is the same on all machines.
  const linkPort = processes[0].linkPort;
  for (const own of processes) own.linkPort = linkPort;
  const controlsList = processes.filter(({role}) => role === 'control');
  const seeds = controlsList.slice(0, 3).map(({listen}) => listen.control);

  function writeSettings(own, {bootstrap}) {
    const lines = [
      `node_id = "${own.name}"`,
      `role = "${own.role}"`,
      `machine_class = "${own.role === 'entry' ? 'front' : 'core'}"`,
      `serves = ${JSON.stringify(own.serves)}`,
      `ip = "${own.ip}"`,
      `zone = "${own.zone}"`,
      `region = "ulaanbaatar"`,
      `port_range = [${own.linkPort},${own.linkPort + 7}]`,
      `seeds = ${JSON.stringify(seeds)}`,
      `bootstrap = ${bootstrap}`,
      `loss_counts = ${own.role === 'control'}`,
      `discovery = "registry"`,
      `entry = "vip"`,
      `heartbeat_ms = 1500`,
      `contracts = ["base","drain","config","cost","recover","sched","tenants","quota","advice","upkeep","sharing"]`,
      `config_mode = "highest"`,
      `orders = "call"`,
      `advice = "${adviserAddress}"`,
      ...(own.role === 'control'
        ? [`data_dir = "${join(own.folder, 'data')}"`]
        : []),
      `[zones]`,
      ...zones.map(zone => `${zone} = "ulaanbaatar"`),
      `[listen]`,
      ...Object.entries(own.listen).map(([key, at]) => `${key} = "${at}"`),
      `[fault_tolerance]`,
      `machines = 1`,
      `zones = 0`,
      `regions = 0`,
      `[bounds]`,
      ...Object.entries(BOUNDS).map(([key, value]) => `${key} = ${value}`),
      `[cloud_api]`,
      `address = "${platformAddress}"`,
      `rate_per_s = 64.0`,
      `duties = []`,
      `duty_per_s = 64.0`,
    ];
    own.settings = join(own.folder, 'boot.toml');
    writeFileSync(own.settings, lines.join('\n') + '\n');
  }

  function start(own, {bootstrap = false} = {}) {
    writeSettings(own, {bootstrap});
    const [program, ...args] = runWords(own.role);
    const output = openSync(join(own.folder, 'out.log'), 'a');
    const {PATH, HOME, LANG} = process.env;
    own.child = spawn(program, args, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, LENTILDRIFT_SETTINGS: own.settings},
      stdio: ['ignore', output, output],
    });
    closeSync(output);
    own.starts++;
    const {child} = own;
    record('process-started', {name: own.name, start: own.starts, pid: child.pid});
    child.on('exit', (code, signal) => {
      own.exits.push({code, signal});
      if (own.child === child) own.child = undefined;
      record('process-ended', {name: own.name, code, signal});
    });
    return own;
  }

  function signal(own, name) {
    record('signal', {name: own.name, signal: name});
    own.child?.kill(name);
  }

  /** Lines of the process's own log that match, for the record only. */
  function logLines(own, pattern) {
    try {
      return readFileSync(join(own.folder, 'out.log'), 'utf8')
        .split('\n')
        .filter(line => pattern.test(line));
    } catch {
      return [];
    }
  }

  /** The control process that logged last that it leads. */
  function leader() {
    let best;
    for (const own of controlsList) {
      if (!own.child) continue;
      const last = logLines(own, /event=(leading|not-leading) /).at(-1);
      const token = /event=leading .*token=(\d+)/.exec(last ?? '')?.[1];
      if (token && (!best || Number(token) > best.token)) {
        best = {own, token: Number(token)};
      }
    }
    return best?.own;
  }

  async function stopAll() {
    for (const own of processes) own.child?.kill('SIGKILL');
    await sleep(200);
    rmSync(folder, {recursive: true, force: true});
  }

  return {
    folder,
    processes,
    controls: controlsList,
    entries: processes.filter(({role}) => role === 'entry'),
    controlAddresses: controlsList.map(({listen}) => listen.control),
    start,
    startAll() {
      for (const own of processes) start(own, {bootstrap: true});
    },
    signal,
    logLines,
    leader,
    stopAll,
  };
}
