/** The task that owns the session with control and syncs the entry host. */
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
import type {PendingItems, RosterMessage} from './directory.js';
import type {FailoverControl} from './failover.js';
import {randomUUID} from 'node:crypto';

/** Time between the regular syncs. */
export const SYNC_INTERVAL_MS = 1000;
/** Shortest time from the start of a sync to that of a requested early sync. */
const EARLY_SYNC_GAP_MS = 50;
/**
 * Interval at which recorded calls are sent with a sync. In control's report,
 * recorded calls may be older than other figures by this interval.
 */
const BURN_INTERVAL_MS = 5000;
const ASK_TIMEOUT_MS = 1000;
const CLOSE_TIMEOUT_MS = 5000;

/**
 * Returns the recorded calls, for the burn of error budgets; with `sinceMs` (of
 * the wall clock) only the calls recorded since.
 */
export type BurnSource = (sinceMs?: number) => BurnSeries[];

export type SyncMessage =
  | {type: 'sync'}
  /** Closes the session; no sync follows. */
  | {type: 'close'; reply: Reply<void>};

/** The recorded calls that one control process holds. */
interface AcknowledgedBurn {
  readonly processIndex: number;
  /** Wall-clock time up to which the process holds the recorded calls. */
  readonly untilMs: number;
}

/** The use that one control process holds. */
interface AcknowledgedUse {
  readonly processIndex: number;
  readonly sequence: number;
  readonly use: UseByTeam;
}

interface SyncState {
  readonly session?: string;
  /** Whether the next sync must request the whole view and all slices. */
  readonly needsFullSync: boolean;
  /** Sequence number of the last sync. */
  readonly sequence: number;
  readonly acknowledged?: AcknowledgedUse;
  readonly burnSent?: AcknowledgedBurn;
  readonly rosterVersion: number;
  /** Index of the control process that issued the roster version. */
  readonly processIndex: number;
  readonly closed: boolean;
  /** Whether control accepted the last sync. */
  readonly accepted: boolean;
}

export interface SyncOptions {
  readonly tasks: TaskSystem;
  readonly log: Log;
  readonly control: FailoverControl;
  readonly entryHost: string;
  readonly admission: Task<AdmissionMessage>;
  readonly roster: Task<RosterMessage>;
  /** Recorded calls; when absent, none are sent. */
  readonly burn?: BurnSource;
}

export interface Sync {
  /** The configuration in use. */
  readonly view: Cell<View>;
  /** Session with control; undefined while there is none. */
  readonly session: Cell<string | undefined>;
  /** Syncs now, and then every second; resolves after the first attempt. */
  start(): Promise<void>;
  /** Requests a sync before the next regular one. */
  requestSync(): void;
  /** Syncs; resolves with whether control accepted that sync. */
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
  let earlyTimer: NodeJS.Timeout | undefined;
  let lastStartMs = -Infinity;
  /** Whether a sync message waits in the task's mailbox. */
  let isSyncQueued = false;
  /** Callers of `flush` that wait for the end of the next sync to start. */
  let flushWaiters: ((accepted: boolean) => void)[] = [];

  const task = tasks.spawn<SyncState, SyncMessage>({
    name: 'sync',
    initial: {
      needsFullSync: false,
      sequence: 0,
      rosterVersion: 0,
      processIndex: 0,
      closed: false,
      accepted: false,
    },
    async handle(state, message) {
      if (message.type === 'close') return close(state, message.reply);
      isSyncQueued = false;
      const waiters = flushWaiters;
      flushWaiters = [];
      const next = state.closed ? state : await trySync(state);
      for (const resolve of waiters) resolve(next.accepted);
      return next;
    },
  });

  async function trySync(previous: SyncState): Promise<SyncState> {
    lastStartMs = performance.now();
    // A sync that failed here may still reach control, so its sequence number
    // is not used again.
    const sequence = previous.sequence + 1;
    const state = {...previous, sequence, accepted: false};
    try {
      return await syncOnce(await openSessionIfNeeded(state));
    } catch (error) {
      log.warn('sync-failed', {error: String(error)});
      // It is unknown which part of the failed sync took effect, so the next
      // sync requests the whole view.
      return {
        ...state,
        session: session.value,
        needsFullSync: true,
        accepted: false,
      };
    }
  }

  async function openSessionIfNeeded(state: SyncState): Promise<SyncState> {
    if (state.session !== undefined) return state;
    const opened = await control.openSession({entryHost: options.entryHost});
    session.value = opened.session;
    admission.post({type: 'open', session: opened.session});
    log.info('session-opened', {session: opened.session});
    const {session: id} = opened;
    return {
      ...state,
      session: id,
      needsFullSync: true,
      acknowledged: undefined,
    };
  }

  async function syncOnce(state: SyncState): Promise<SyncState> {
    const sentMs = performance.now();
    const use = await admission.ask<Record<string, TeamUse>>(
      reply => ({type: 'use', reply}),
      ASK_TIMEOUT_MS,
    );
    const pendingItems = await roster.ask<PendingItems>(
      reply => ({type: 'collect', reply}),
      ASK_TIMEOUT_MS,
    );
    // Read after the awaits above: a request that fails during them advances
    // the index to the next process.
    const processIndex = control.currentIndex();
    const sameProcess = processIndex === state.processIndex;
    const {acknowledged: last} = state;
    const acknowledgedHere =
      last?.processIndex === processIndex ? last : undefined;
    const {sequence} = state;
    const untilMs = Date.now();
    const burn = collectDueBurn(state, processIndex, untilMs);
    const response = await control.sync({
      session: state.session!,
      revision: state.needsFullSync ? 0 : view.value.revision,
      sequence,
      useSince: acknowledgedHere?.sequence ?? 0,
      use: acknowledgedHere ? diffUse(use, acknowledgedHere.use) : use,
      roster: pendingItems.items,
      rosterVersion: sameProcess ? state.rosterVersion : 0,
      ...burn,
    });
    if (!response.ok) return dropSession(state);
    roster.post({type: 'acknowledge', sent: pendingItems});
    roster.post({type: 'merge', items: response.roster});
    const {rosterVersion, useHeld} = response;
    const acknowledged = useHeld ? {processIndex, sequence, use} : undefined;
    if (!useHeld) requestSync();
    const needsFullSync = !applyView(state, response, sentMs);
    // A process that no longer holds the use has lost the recorded calls, too.
    const sentBurn = burn ? {processIndex, untilMs} : state.burnSent;
    const burnSent = useHeld ? sentBurn : undefined;
    const next = {
      ...state,
      needsFullSync,
      rosterVersion,
      processIndex,
      acknowledged,
    };
    return {...next, burnSent, accepted: true};
  }

  /**
   * Returns the recorded calls that the control process does not hold yet, if
   * `BURN_INTERVAL_MS` have passed since they were last sent to it.
   */
  function collectDueBurn(
    {burnSent}: SyncState,
    processIndex: number,
    nowMs: number,
  ): Pick<SyncRequest, 'burn'> | undefined {
    if (!options.burn) return undefined;
    const sentHere =
      burnSent?.processIndex === processIndex ? burnSent : undefined;
    if (sentHere && nowMs - sentHere.untilMs < BURN_INTERVAL_MS)
      return undefined;
    const series = options.burn(sentHere?.untilMs);
    return {burn: {source: burnSourceId, series}};
  }

  /** Drops a session that control has closed; an early sync opens a new one. */
  function dropSession(state: SyncState): SyncState {
    log.warn('session-closed', {session: state.session});
    session.value = undefined;
    requestSync();
    return {...state, session: undefined};
  }

  /**
   * Applies the view, slices and targets of a response. Returns false if the
   * view cannot be patched or is older than the response's read index.
   */
  function applyView(
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

  function queueSync(): void {
    if (isSyncQueued) return;
    isSyncQueued = task.post({type: 'sync'});
  }

  function requestSync(): void {
    if (earlyTimer || isSyncQueued) return;
    const waitMs = lastStartMs + EARLY_SYNC_GAP_MS - performance.now();
    earlyTimer = setTimeout(
      () => {
        earlyTimer = undefined;
        queueSync();
      },
      Math.max(0, waitMs),
    );
  }

  function flush(): Promise<boolean> {
    return new Promise(resolve => {
      flushWaiters.push(resolve);
      requestSync();
    });
  }

  return {
    view,
    session,
    requestSync,
    flush,
    start() {
      interval = setInterval(queueSync, SYNC_INTERVAL_MS);
      return flush().then(() => undefined);
    },
    async stop() {
      clearInterval(interval);
      clearTimeout(earlyTimer);
      const closing = task.ask<void>(
        reply => ({type: 'close', reply}),
        CLOSE_TIMEOUT_MS,
      );
      // Control also closes a session for which it receives no more syncs.
      await closing.catch(error =>
        log.warn('session-not-closed', {error: String(error)}),
      );
      clearTimeout(earlyTimer);
      await task.stop();
      for (const resolve of flushWaiters) resolve(false);
    },
  };
}
