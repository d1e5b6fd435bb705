/** The task that owns the session and keeps the entry host in step with control. */
import {
  EMPTY_VIEW,
  patchView,
  type BurnSeries,
  type View,
} from '@lentildrift/model';
import type {Log} from '@lentildrift/observe';
import {
  diffUse,
  type SyncRequest,
  type SyncResponse,
  type TeamUse,
  type UseByTeam,
} from '@lentildrift/protocol';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';
import type {AdmissionMessage} from './admission.js';
import {createCell, type Cell} from './cell.js';
import type {Outgoing, RosterMessage} from './directory.js';
import type {FailoverControl} from './failover.js';
import {randomUUID} from 'node:crypto';

export const SYNC_INTERVAL_MS = 1000;
/** Least time between the starts of two syncs that were asked for early. */
const EARLY_SYNC_GAP_MS = 50;
/** Recorded calls may be this much older in the report. */
const BURN_INTERVAL_MS = 5000;
const ASK_TIMEOUT_MS = 1000;
const CLOSE_TIMEOUT_MS = 5000;

export type BurnSource = (sinceMs?: number) => BurnSeries[];

export type SyncMessage =
  | {type: 'sync'}
  /** Ends the session; no sync follows. */
  | {type: 'close'; reply: Reply<void>};

/** Recorded calls that the control process at `position` holds. */
interface BurnSent {
  readonly position: number;
  /** Wall-clock time up to which it holds them. */
  readonly untilMs: number;
}

/** Use that the control process at `position` holds. */
interface Acknowledged {
  readonly position: number;
  readonly sequence: number;
  readonly use: UseByTeam;
}

interface SyncState {
  readonly session?: string;
  /** Set when the whole view and all slices must be asked for. */
  readonly whole: boolean;
  /** Sequence number of the last sync. */
  readonly sequence: number;
  readonly acknowledged?: Acknowledged;
  readonly burnSent?: BurnSent;
  readonly rosterVersion: number;
  /** Control process that the roster version belongs to. */
  readonly position: number;
  readonly closed: boolean;
  /** Whether control took the last sync. */
  readonly taken: boolean;
}

export interface SyncOptions {
  readonly tasks: TaskSystem;
  readonly log: Log;
  readonly control: FailoverControl;
  readonly entryHost: string;
  readonly admission: Task<AdmissionMessage>;
  readonly roster: Task<RosterMessage>;
  /** Recorded calls; with `sinceMs` of the wall clock only what is newer. */
  readonly burn?: BurnSource;
}

export interface Sync {
  readonly view: Cell<View>;
  readonly session: Cell<string | undefined>;
  /** Syncs now and then every second; resolves after the first attempt. */
  start(): Promise<void>;
  /** Asks for a sync before the next regular one. */
  hurry(): void;
  /** Syncs, and resolves with whether control took that sync. */
  flush(): Promise<boolean>;
  /** Closes the session and stops. */
  stop(): Promise<void>;
}

export function createSync(options: SyncOptions): Sync {
  const {tasks, log, control, admission, roster} = options;
  const view = createCell<View>(EMPTY_VIEW);
  const session = createCell<string | undefined>(undefined);
  const burnSourceId = randomUUID();
  let interval: NodeJS.Timeout | undefined;
  let early: NodeJS.Timeout | undefined;
  let startedMs = -Infinity;
  /** Whether a sync waits in the task's mailbox. */
  let queued = false;
  /** Resolved when the next sync that starts has ended. */
  let waiting: ((taken: boolean) => void)[] = [];

  const task = tasks.spawn<SyncState, SyncMessage>({
    name: 'sync',
    initial: {
      whole: false,
      sequence: 0,
      rosterVersion: 0,
      position: 0,
      closed: false,
      taken: false,
    },
    async handle(state, message) {
      if (message.type === 'close') return close(state, message.reply);
      queued = false;
      const waiters = waiting;
      waiting = [];
      const next = state.closed ? state : await attempt(state);
      for (const resolve of waiters) resolve(next.taken);
      return next;
    },
  });

  async function attempt(previous: SyncState): Promise<SyncState> {
    startedMs = performance.now();
    // A failed sync may still arrive, so that it uses up its number.
    const sequence = previous.sequence + 1;
    const state = {...previous, sequence, taken: false};
    try {
      return await syncOnce(await openIfNeeded(state));
    } catch (error) {
      log.warn('sync-failed', {error: String(error)});
      // The whole view repairs whatever the failed sync left unclear.
      return {...state, session: session.value, whole: true, taken: false};
    }
  }

  async function openIfNeeded(state: SyncState): Promise<SyncState> {
    if (state.session !== undefined) return state;
    const opened = await control.openSession({entryHost: options.entryHost});
    session.value = opened.session;
    admission.post({type: 'open', session: opened.session});
    log.info('session-opened', {session: opened.session});
    const {session: id} = opened;
    return {...state, session: id, whole: true, acknowledged: undefined};
  }

  async function syncOnce(state: SyncState): Promise<SyncState> {
    const sentMs = performance.now();
    const use = await admission.ask<Record<string, TeamUse>>(
      reply => ({type: 'use', reply}),
      ASK_TIMEOUT_MS,
    );
    const outgoing = await roster.ask<Outgoing>(
      reply => ({type: 'collect', reply}),
      ASK_TIMEOUT_MS,
    );
    // Read last: a call that fails meanwhile moves on to the next process.
    const position = control.position();
    const sameProcess = position === state.position;
    const {acknowledged: last} = state;
    const known = last?.position === position ? last : undefined;
    const {sequence} = state;
    const untilMs = Date.now();
    const burn = dueBurn(state, position, untilMs);
    const response = await control.sync({
      session: state.session!,
      revision: state.whole ? 0 : view.value.revision,
      sequence,
      useSince: known?.sequence ?? 0,
      use: known ? diffUse(use, known.use) : use,
      roster: outgoing.items,
      rosterVersion: sameProcess ? state.rosterVersion : 0,
      ...burn,
    });
    if (!response.ok) return forget(state);
    roster.post({type: 'acknowledge', sent: outgoing});
    roster.post({type: 'merge', items: response.roster});
    const {rosterVersion, useHeld} = response;
    const acknowledged = useHeld ? {position, sequence, use} : undefined;
    if (!useHeld) hurry();
    const whole = !takeView(state, response, sentMs);
    // A process that lost the use has lost the recorded calls, too.
    const sent = burn ? {position, untilMs} : state.burnSent;
    const burnSent = useHeld ? sent : undefined;
    const next = {...state, whole, rosterVersion, position, acknowledged};
    return {...next, burnSent, taken: true};
  }

  /** Recorded calls that this process lacks, every `BURN_INTERVAL_MS`. */
  function dueBurn(
    {burnSent}: SyncState,
    position: number,
    nowMs: number,
  ): Pick<SyncRequest, 'burn'> | undefined {
    if (!options.burn) return undefined;
    const known = burnSent?.position === position ? burnSent : undefined;
    if (known && nowMs - known.untilMs < BURN_INTERVAL_MS) return undefined;
    const series = options.burn(known?.untilMs);
    return {burn: {source: burnSourceId, series}};
  }

  /** The session was closed: the next sync opens a new one, at once. */
  function forget(state: SyncState): SyncState {
    log.warn('session-closed', {session: state.session});
    session.value = undefined;
    hurry();
    return {...state, session: undefined};
  }

  /** Returns false if the response does not lead to a usable view. */
  function takeView(
    state: SyncState,
    response: SyncResponse & {ok: true},
    sentMs: number,
  ): boolean {
    const next = patchView(view.value, response.view);
    if (!next || next.revision < response.readIndex) return false;
    if (next.revision !== view.value.revision) {
      view.value = next;
      roster.post({type: 'view', view: next});
    }
    const {slices, targets} = response;
    const renewal = {session: state.session!, sentMs, slices, targets};
    admission.post({type: 'renew', renewal});
    return true;
  }

  async function close(
    state: SyncState,
    reply: Reply<void>,
  ): Promise<SyncState> {
    if (state.session !== undefined) {
      await control.closeSession({session: state.session});
    }
    session.value = undefined;
    reply.resolve();
    return {...state, session: undefined, closed: true};
  }

  function queue(): void {
    if (queued) return;
    queued = task.post({type: 'sync'});
  }

  function hurry(): void {
    if (early || queued) return;
    const waitMs = startedMs + EARLY_SYNC_GAP_MS - performance.now();
    early = setTimeout(
      () => {
        early = undefined;
        queue();
      },
      Math.max(0, waitMs),
    );
  }

  function flush(): Promise<boolean> {
    return new Promise(resolve => {
      waiting.push(resolve);
      hurry();
    });
  }

  return {
    view,
    session,
    hurry,
    flush,
    start() {
      interval = setInterval(queue, SYNC_INTERVAL_MS);
      return flush().then(() => undefined);
    },
    async stop() {
      clearInterval(interval);
      clearTimeout(early);
      const closing = task.ask<void>(
        reply => ({type: 'close', reply}),
        CLOSE_TIMEOUT_MS,
      );
      // Control closes a silent session by itself.
      await closing.catch(error =>
        log.warn('session-not-closed', {error: String(error)}),
      );
      clearTimeout(early);
      await task.stop();
      for (const resolve of waiting) resolve(false);
    },
  };
}
