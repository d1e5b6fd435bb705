/**
 * A stand-in for the platform's machine API (`PROTOCOL.md`, "Machines") with the
 * minions of its machines.
 */
import {newIp, sleep} from './deployment.mjs';
import {serve} from './http.mjs';
import {startMinion} from './minion.mjs';

/** Times of the site gerelt-rota. */
const MOVE_MS = 1500;
const UPKEEP_MS = 2000;

export async function startFleet({record}) {
  /** By name: {machine, pool, state, zone, rack, minion}. */
  const machines = new Map();
  let options;
  let isStopped = false;
  /** Until this time orders get no answer and are not carried out. */
  let silentUntilMs = 0;

  const list = () =>
    [...machines.values()].map(({machine, pool, state, zone, rack, minion}) => ({
      machine,
      pool,
      state,
      zone,
      labels: ['a', rack],
      capacity: {cpu: 64000, mem_mb: 131072, gpu: 0},
      id: minion?.isUp() ? minion.id : '',
    }));

  async function rejoin(entry, afterMs, identity = {}) {
    await sleep(afterMs);
    if (isStopped) return;
    // A move or an upkeep may have been accepted since a crash.
    if (entry.state === 'up') return;
    entry.state = 'up';
    if (!options.standby?.includes(entry.pool)) entry.minion = await join(entry, identity);
  }

  function join(entry, identity = {}) {
    return startMinion({
      ...options,
      ...identity,
      record,
      machine: entry.machine,
      service: entry.pool,
      zone: entry.zone,
      rack: entry.rack,
    });
  }

  const server = await serve(newIp(), async ({method, path, headers, body}) => {
    if (method === 'GET' && path === '/machines') {
      return {status: 200, body: {machines: list(), next_token: ''}};
    }
    const entry = machines.get(body?.machine);
    if (!entry) return {status: 400};
    record('machine-order', {
      path,
      ...body,
      holder: headers['lentildrift-duty-holder'],
      token: headers['lentildrift-fencing-token'],
    });
    if (performance.now() < silentUntilMs) {
      record('machine-order-dropped', {machine: body.machine});
      return null;
    }
    if (path === '/machine-move') {
      if (entry.pool === body.pool) return {status: 200};
      if (entry.state !== 'up') return {status: 409, body: {reason: 'busy'}};
      entry.state = 'moving';
      entry.pool = body.pool;
      entry.minion?.crash();
      void rejoin(entry, MOVE_MS);
      return {status: 200};
    }
    if (path === '/machine-upkeep') {
      if (entry.state !== 'up') return {status: 409, body: {reason: 'busy'}};
      entry.state = 'upkeep';
      record('upkeep-begun', {machine: entry.machine, wave: body.wave});
      entry.minion?.crash();
      void rejoin(entry, UPKEEP_MS).then(() => record('upkeep-over', {machine: entry.machine}));
      return {status: 200};
    }
    return {status: 404};
  });

  return {
    address: server.address,
    machines,
    /** Adds `count` machines to a pool; each gets a minion. */
    async populate(fleetOptions, pools) {
      options = fleetOptions;
      let number = 0;
      for (const [pool, count] of Object.entries(pools)) {
        for (let i = 0; i < count; i++) {
          const entry = {
            machine: `m-${String(++number).padStart(3, '0')}`,
            pool,
            state: 'up',
            zone: ['ub-a', 'ub-b', 'ub-c'][number % 3],
            rack: `r1-${1 + Math.floor(i / 4)}`,
            minion: undefined,
          };
          machines.set(entry.machine, entry);
          if (!options.standby?.includes(pool)) entry.minion = await join(entry);
        }
      }
    },
    /** The platform neither answers nor carries out orders for a while. */
    silence(forMs) {
      record('platform-silent', {forMs});
      silentUntilMs = performance.now() + forMs;
    },
    /** Crashes a minion, which starts again under its ID and at its address. */
    restart(entry, downMs) {
      const {id, ip, port} = entry.minion;
      entry.minion.crash();
      entry.state = 'down';
      void rejoin(entry, downMs, {id, ip, port});
    },
    /** The machine whose minion runs the task. */
    holderOf(task) {
      return [...machines.values()].find(
        ({minion}) => minion?.isUp() && minion.running.has(task),
      );
    },
    /** Crashes the minion of a machine; another comes `downMs` later. */
    crash(entry, downMs) {
      entry.minion.crash();
      entry.state = 'down';
      void rejoin(entry, downMs);
    },
    stop() {
      isStopped = true;
      for (const {minion} of machines.values()) minion?.stop();
      server.abort();
    },
  };
}
