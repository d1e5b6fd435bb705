/**
 * A stand-in for a minion, after `PROTOCOL.md`, "Running tasks" and "Service
 * discovery". A crash ends everything that runs and resets the connections; the
 * next incarnation holds and knows nothing of before.
 */
import {randomBytes} from 'node:crypto';
import {call, serve} from './http.mjs';
import {newIp, sleep} from './deployment.mjs';

const MAX_HOLD_MS = 6000;
const HEARTBEAT_MS = 1500;

/**
 * `onStart(body, minion)`, if given, returns true for an order to start that the
 * minion neither answers nor carries out now; `minion.carryOut(body)` does so later.
 *
 * `work(task, run)` returns `{ms, how}` of a run, or `{lasts: true}` for one that
 * lasts. `record` gets every order, start and end.
 */
export async function startMinion({
  machine,
  service,
  zone,
  rack,
  controls,
  record,
  work,
  capacity = {cpu: 64000, mem_mb: 131072, gpu: 0},
  stopMs = 50,
  ip = newIp(),
  port = 0,
  id = `i-${randomBytes(4).toString('hex')}`,
  onStart,
}) {
  const bornAt = performance.now();
  const born = Date.now();
  const clock = () => Math.floor(performance.now() - bornAt) + 1000;
  let fence = 0;
  let leaseUntil = 0;
  let isUp = true;
  let state = 'ready';
  let seq = 0;
  let nextEnd = 1;
  let contact = Math.floor(Math.random() * controls.length);
  /** Task -> {run, startedAt, work, timer}. */
  const running = new Map();
  /** Task -> highest run that was stopped or has ended here. */
  const over = new Map();
  let ended = [];
  let waiters = [];

  const say = (status, extra = {}) => ({status, body: {clock_ms: clock(), born, ...extra}});

  function end(task, how) {
    const entry = running.get(task);
    if (!entry) return;
    clearTimeout(entry.timer);
    running.delete(task);
    over.set(task, Math.max(over.get(task) ?? 0, entry.run));
    ended.push([nextEnd++, task, entry.run, how, '']);
    record('run-ended', {minion: id, machine, task, run: entry.run, how});
    for (const wake of waiters.splice(0)) wake();
  }

  function extend(deadline) {
    if (typeof deadline !== 'number') return;
    leaseUntil = Math.max(leaseUntil, Math.min(deadline, clock() + MAX_HOLD_MS));
  }

  const leaseTimer = setInterval(() => {
    if (running.size === 0 || clock() < leaseUntil) return;
    for (const task of [...running.keys()]) end(task, 'lapsed');
  }, 20);

  function isStale(body) {
    const token = body.fencing_token ?? 0;
    if (token < fence) return true;
    fence = token;
    return false;
  }

  function start(body) {
    const {task, run, spec, deadline_ms: deadline} = body;
    if (typeof task !== 'string' || !(run >= 1)) return say(400);
    if (isStale(body)) return say(409, {reason: 'fence'});
    const known = running.get(task);
    if (known?.run === run) {
      extend(deadline);
      return say(200);
    }
    if (run <= (over.get(task) ?? 0) || (known && run < known.run)) {
      extend(deadline);
      return say(409, {reason: 'old'});
    }
    if (!(deadline > clock())) return say(409, {reason: 'late'});
    extend(deadline);
    const plan = work(task, run);
    const entry = {run, startedAt: performance.now(), plan, timer: undefined};
    running.set(task, entry);
    record('run-started', {minion: id, machine, task, run, spec});
    if (!plan.lasts) entry.timer = setTimeout(() => end(task, plan.how ?? 'done'), plan.ms);
    return say(200);
  }

  function stop(body) {
    if (isStale(body)) return say(409, {reason: 'fence'});
    const {task, run} = body;
    record('run-stop', {minion: id, machine, task, run});
    const known = running.get(task);
    if (known?.run === run) {
      if (!known.stopping) {
        known.stopping = true;
        setTimeout(() => running.get(task) === known && end(task, 'stopped'), stopMs);
      }
    } else {
      over.set(task, Math.max(over.get(task) ?? 0, run));
    }
    return say(200);
  }

  async function hold(body) {
    if (isStale(body)) return say(409, {reason: 'fence'});
    ended = ended.filter(([number]) => number > (body.ack_cursor ?? 0));
    extend(body.deadline_ms);
    const waitMs = Math.min(2000, body.wait_ms ?? 0);
    if (waitMs > 0 && ended.length === 0) {
      await new Promise(resolve => {
        const timer = setTimeout(resolve, waitMs);
        waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    if (!isUp) return null;
    const rows = [...running].map(([task, {run, startedAt, plan}]) => {
      const ranMs = performance.now() - startedAt;
      const percent = plan.lasts
        ? ranMs > 300 ? 100 : 0
        : Math.min(99, Math.floor((100 * ranMs) / plan.ms));
      return [task, run, '', percent, 0];
    });
    return say(200, {running: rows, ended: ended.slice(0, 500)});
  }

  const server = await serve(
    ip,
    async ({method, path, headers, body}) => {
      if (!isUp) return null;
      if (method === 'GET') return {status: 200};
      const expected = headers['lentildrift-expect-instance'];
      if (expected !== undefined && expected !== id) return say(421);
      if (!body) return say(400);
      if (path === '/run-start') return onStart?.(body, self) ? null : start(body);
      if (path === '/run-stop') return stop(body);
      if (path === '/hold') return hold(body);
      if (path === '/pace') return isStale(body) ? say(409, {reason: 'fence'}) : say(200);
      return {status: 404};
    },
    port,
  );

  async function beat() {
    const body = {
      service,
      address: server.address,
      zone,
      version: 'v1',
      slots: 8,
      state,
      cold_left_ms: 0,
      capacity,
      labels: ['a', rack],
      clock_ms: clock(),
      born,
      machine,
      seq: ++seq,
    };
    for (let tries = 0; tries < controls.length && isUp; tries++) {
      const answer = await call(controls[contact % controls.length], 'PUT', `/instances/${id}`, {
        body,
        timeoutMs: 1000,
      });
      if (answer.status >= 200 && answer.status < 300) return true;
      contact++;
    }
    return false;
  }

  (async () => {
    while (isUp) {
      await beat();
      await sleep(HEARTBEAT_MS);
    }
  })();

  function shutDown() {
    isUp = false;
    clearInterval(leaseTimer);
    for (const {timer} of running.values()) clearTimeout(timer);
    for (const wake of waiters.splice(0)) wake();
  }

  const self = {
    id,
    ip,
    machine,
    service,
    zone,
    rack,
    capacity,
    port: server.port,
    address: server.address,
    running,
    isUp: () => isUp,
    /** Everything that runs is lost at once. */
    crash() {
      record('minion-crashed', {minion: id, machine, running: [...running.keys()]});
      shutDown();
      running.clear();
      server.abort();
    },
    stop() {
      shutDown();
      server.abort();
    },
    /** Carries out an order to start that was received earlier. */
    carryOut(body) {
      const answer = start(body);
      record('late-start', {minion: id, machine, task: body.task, run: body.run, status: answer.status, reason: answer.body.reason});
    },
  };
  return self;
}
