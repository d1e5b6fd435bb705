/**
 * A stand-in for one life of a minion, as PROTOCOL.md describes it: leases on
 * its own steady clock, fencing tokens, run numbers, and ends that are listed
 * again, 500 at a time, until `ack_cursor` reaches them.
 */
import {call, serve} from './http.mjs';
import {nowMs, record} from './record.mjs';

const MAX_HOLD_MS = 6000;
const MAX_LISTED_ENDS = 500;
const STOP_MS = 50;
const HEARTBEAT_MS = 1500;

/**
 * `durationMs(task, run, spec)` says how long a run works; infinite for a task
 * that lasts. `watch` is told of starts, ends and acknowledged ends.
 * `acceptsTicket(life, task, ticket)` is asked where starts need a ticket.
 */
export async function startMinion(options) {
  const {id, machine, service, address, zone, capacity} = options;
  const {labels = ['a', 'r1-1'], durationMs, watch, controls} = options;
  const born = Date.now();
  const life = `${id}@${born}`;
  const bornMs = performance.now();
  const clockMs = () => Math.floor(performance.now() - bornMs);
  const running = new Map();
  /** Highest run that was stopped or ended here, by task. */
  const finished = new Map();
  const ended = [];
  let lastEnd = 0;
  let fence = 0;
  let leaseMs = 0;
  let seq = 0;
  let state = 'ready';
  let isUp = true;
  /** Calls to the minion do not reach it; its own heartbeats get through. */
  let isCut = false;
  let preferred;
  let holdSinceMs = -Infinity;
  const waiters = new Set();

  const leaseTimer = setInterval(() => {
    if (running.size > 0 && clockMs() >= leaseMs) {
      for (const task of [...running.keys()]) end(task, 'lapsed');
      watch.lapsed?.(life);
    }
  }, 20);

  function extendLease(deadlineMs) {
    if (typeof deadlineMs !== 'number') return;
    leaseMs = Math.max(leaseMs, Math.min(deadlineMs, clockMs() + MAX_HOLD_MS));
  }

  function end(task, how) {
    const entry = running.get(task);
    if (!entry) return;
    clearTimeout(entry.timer);
    running.delete(task);
    finished.set(task, Math.max(finished.get(task) ?? 0, entry.run));
    const row = [++lastEnd, task, entry.run, how, ''];
    ended.push(row);
    watch.ended({life, task, run: entry.run, how, number: lastEnd});
    for (const wake of [...waiters]) wake();
  }

  function runStart({task, run, spec, deadline_ms, ticket, fencing_token = 0}) {
    if (fencing_token < fence) return reject('fence');
    fence = fencing_token;
    const present = running.get(task);
    if (present?.run === run) {
      extendLease(deadline_ms);
      return ok();
    }
    if (present || run <= (finished.get(task) ?? 0)) {
      extendLease(deadline_ms);
      return reject('old');
    }
    if (deadline_ms <= clockMs()) return reject('late');
    if (options.acceptsTicket && !options.acceptsTicket(life, task, ticket)) {
      return reject('ticket');
    }
    extendLease(deadline_ms);
    const workMs = durationMs(task, run, spec);
    const entry = {run, startedMs: clockMs(), startedAtMs: nowMs(), workMs};
    if (Number.isFinite(workMs)) {
      entry.timer = setTimeout(() => end(task, 'done'), workMs);
    }
    running.set(task, entry);
    watch.started({life, task, run, spec, fence});
    return ok();
  }

  function runStop({task, run, fencing_token = 0}) {
    if (fencing_token < fence) return reject('fence');
    fence = fencing_token;
    finished.set(task, Math.max(finished.get(task) ?? 0, run));
    const present = running.get(task);
    if (present && present.run <= run && !present.isStopping) {
      present.isStopping = true;
      watch.stopOrdered?.({life, task, run});
      setTimeout(() => isUp && end(task, 'stopped'), STOP_MS);
    }
    return ok();
  }

  async function hold({fencing_token = 0, ack_cursor, deadline_ms, wait_ms}) {
    if (fencing_token < fence) return reject('fence');
    fence = fencing_token;
    extendLease(deadline_ms);
    while (ended.length > 0 && ended[0][0] <= ack_cursor) {
      const [number, task, run, how] = ended.shift();
      watch.acknowledged?.({life, number, task, run, how});
    }
    if (ended.length === 0 && wait_ms > 0) {
      holdSinceMs = nowMs();
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.min(wait_ms, 2000));
        waiters.add(wake);
      });
    }
    if (!isUp) return undefined;
    const listed = ended.slice(0, MAX_LISTED_ENDS);
    watch.listed?.({
      life,
      listed: listed.length,
      unlisted: ended.length - listed.length,
    });
    return ok({
      running: [...running].map(([task, {run, workMs, startedMs}]) => [
        task,
        run,
        '',
        Number.isFinite(workMs)
          ? Math.min(99, Math.round((100 * (clockMs() - startedMs)) / workMs))
          : 100,
        100,
      ]),
      ended: listed,
    });
  }

  const ok = (extra = {}) => ({
    status: 200,
    body: {clock_ms: clockMs(), born, ...extra},
  });
  const reject = reason => ({
    status: 409,
    body: {clock_ms: clockMs(), born, reason},
  });

  const server = await serve(address, async ({method, path, headers, body}) => {
    if (!isUp || isCut) return undefined;
    if (path === '/health') return {status: 200};
    const expected = headers['lentildrift-expect-instance'];
    if (expected !== undefined && expected !== id) return {status: 421};
    if (method !== 'POST' || !body) return {status: 400};
    if (path === '/run-start') return runStart(body);
    if (path === '/run-stop') return runStop(body);
    if (path === '/pace') return ok();
    if (path === '/hold') return hold(body);
    return {status: 404};
  });

  /** Announces itself at one control address after the other until acknowledged. */
  async function beat() {
    seq++;
    const order = [...controls];
    if (preferred) order.unshift(preferred);
    for (const control of order) {
      if (!isUp) return;
      try {
        const {status, body} = await call({
          address: control,
          method: 'PUT',
          path: `/instances/${id}`,
          timeoutMs: 1000,
          body: {
            service,
            address,
            zone,
            version: 'v1',
            slots: 8,
            state,
            cold_left_ms: 0,
            capacity,
            labels,
            machine,
            born,
            clock_ms: clockMs(),
            seq,
          },
        });
        if (status >= 200 && status < 300) {
          preferred = body?.heartbeat_addr || control;
          return;
        }
      } catch {
        // The next control address is tried.
      }
      preferred = undefined;
    }
  }

  let beatTimer;
  async function keepBeating() {
    await beat();
    if (isUp) beatTimer = setTimeout(keepBeating, HEARTBEAT_MS);
  }
  void keepBeating();
  record('minion-up', {life, address, service});

  return {
    id,
    life,
    machine,
    running,
    isUp: () => isUp,
    unacknowledged: () => ended.length,
    /** Time for which the last hold with a wait has been under way. */
    holdAgeMs: () => nowMs() - holdSinceMs,
    /** Ends a run in progress, as its own work does. */
    end,
    setState(next) {
      state = next;
      return beat();
    },
    setCut(cut) {
      isCut = cut;
    },
    /** Says that it leaves, then ends. */
    async leave() {
      for (const control of controls) {
        const request = {
          address: control,
          method: 'DELETE',
          path: `/instances/${id}`,
        };
        const answer = await call(request).catch(() => undefined);
        if (answer?.status === 200) break;
      }
      this.close();
    },
    /** Ends at once, as after a crash; everything that runs terminates. */
    close() {
      if (!isUp) return;
      isUp = false;
      clearTimeout(beatTimer);
      clearInterval(leaseTimer);
      for (const {timer} of running.values()) clearTimeout(timer);
      for (const wake of [...waiters]) wake();
      const tasks = [...running].map(([task, {run}]) => ({task, run}));
      running.clear();
      server.close();
      record('minion-down', {life, at: nowMs().toFixed(1)});
      watch.down?.({life, tasks});
    },
  };
}
