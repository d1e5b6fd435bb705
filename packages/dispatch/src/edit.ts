/**
 * Records edits of the tables. Edits pass two pipelines: at the process that
 * receives them `check → compare → difference → send`, and at the leader
 * `rebuild → compare → difference → commit`. Tables have thousands of rows and
 * an edit changes a few, so both send and record only the difference if it is
 * much smaller.
 */
import type {Counter, Log, Metrics} from '@lentildrift/observe';
import {
  applyDifference,
  findContradiction,
  findDifference,
  type Event,
  type Outcome,
  type Tables,
  type TablesDifference,
} from '@lentildrift/queue';
import {MAX_CHANGE_CHARS} from './codec.js';
import type {Leader, QueueReplica} from './leader.js';
import {refuse, type Reply, type Request, type RequestOf} from './request.js';

/** Thrown if the leader does not have the base of a difference any more. */
export class UnknownBaseError extends Error {
  override readonly name = 'UnknownBaseError';
}

/**
 * A difference is used if its encoded form is at most this part of the document.
 * A larger one saves little, and unlike the whole tables it may be based on an
 * outdated version.
 */
const MAX_DIFFERENCE_SHARE = 0.5;
/**
 * Larger documents are recorded whole, so that the size limit of a change applies
 * to them. The whole tables of a smaller one usually fit: they take up to twice
 * the document, and more where the encoding escapes characters.
 */
const MAX_DOCUMENT_CHARS = MAX_CHANGE_CHARS / 4;
/**
 * Differences that are tried for one edit before it is sent or recorded whole.
 */
const MAX_DIFFERENCES = 3;
/**
 * Versions of the tables that the leader keeps as bases. The replica of another
 * process is behind by a few edits, as several operators send at the same time.
 * A version takes the memory of its document.
 */
const MAX_BASES = 8;

type EditForm = 'whole' | 'difference' | 'none';

/** Complete tables, with the difference from which they were rebuilt, if any. */
interface Edit {
  readonly tables: Tables;
  readonly base?: Tables;
  readonly difference?: TablesDifference;
}

/** Finds the difference, unless it is better to use the whole tables. */
export function findSmallDifference(
  base: Tables,
  tables: Tables,
): TablesDifference | undefined {
  const {length} = tables.document;
  if (base.version === 0 || length > MAX_DOCUMENT_CHARS) return undefined;
  const difference = findDifference(base, tables);
  const chars = JSON.stringify(difference).length;
  return chars <= length * MAX_DIFFERENCE_SHARE ? difference : undefined;
}

/**
 * Compares an edit with tables that are recorded. As versions only rise and an
 * applied change is durable, `overtaken` and `known` hold from then on, also if
 * the tables that were compared are outdated; `conflict` does not.
 */
function compareWithRecorded(
  recorded: Tables,
  {version, document}: Tables,
): Outcome | undefined {
  if (version > recorded.version) return undefined;
  if (version < recorded.version) return 'overtaken';
  return document === recorded.document ? 'known' : 'conflict';
}

function countEdits(metrics: Metrics): Counter {
  return metrics.counter(
    'lentildrift_edits_total',
    'Edits of the tables by the form in which they were recorded.',
    16,
  );
}

export interface EditSenderOptions {
  readonly replica: Pick<QueueReplica, 'state'>;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** What the next attempt to send a request to the leader does. */
export type Prepared =
  | {readonly reply: Reply}
  | {readonly request: Request; readonly reply?: undefined};

export interface EditSender {
  /**
   * Returns the form in which an edit is sent to the leader, or the reply if it
   * needs no leader. Other requests are returned as they are. `outdatedCount` is
   * the number of earlier forms whose base the leader did not have.
   */
  prepare(id: string, request: Request, outdatedCount: number): Prepared;
}

/** Prepares the edits of a process that does not lead. */
export function createEditSender(options: EditSenderOptions): EditSender {
  const {replica, log, metrics} = options;
  const edits = countEdits(metrics);
  /** The last difference of each edit, with its base. */
  const differences = new WeakMap<
    Tables,
    {readonly base: Tables; readonly difference?: TablesDifference}
  >();

  function prepare(
    id: string,
    request: Request,
    outdatedCount: number,
  ): Prepared {
    if (request.type !== 'edit') return {request};
    const {tables} = request;
    const base = replica.state().tables;
    const last = differences.get(tables);
    const reason = last ? undefined : findContradiction(tables);
    if (reason !== undefined) return {reply: refuseInvalid(id, tables, reason)};
    const outcome = compareWithRecorded(base, tables);
    if (outcome === 'known' || outcome === 'overtaken') {
      logEdit(id, tables, outcome);
      return {reply: {type: 'done'}};
    }
    const isRefusedBase = outdatedCount > 0 && last?.base === base;
    if (isRefusedBase || outdatedCount >= MAX_DIFFERENCES) return {request};
    const difference = findDifferenceOnce(base, tables);
    if (!difference) return {request};
    return {request: {type: 'edit-difference', difference}};
  }

  function findDifferenceOnce(
    base: Tables,
    tables: Tables,
  ): TablesDifference | undefined {
    const last = differences.get(tables);
    if (last?.base === base) return last.difference;
    const difference = findSmallDifference(base, tables);
    differences.set(tables, {base, ...(difference && {difference})});
    return difference;
  }

  function refuseInvalid(id: string, {version}: Tables, reason: string): Reply {
    log.info('tables-refused', {request: id, version, reason});
    return refuse('invalid', reason);
  }

  function logEdit(id: string, {version}: Tables, outcome: Outcome): void {
    edits.add({form: 'none', outcome});
    log.info('tables-edited', {request: id, version, outcome, form: 'none'});
  }

  return {prepare};
}

export interface TablesEditorOptions {
  readonly replica: QueueReplica;
  readonly leader: Pick<Leader, 'commit'>;
  readonly log: Log;
  readonly metrics: Metrics;
}

export interface TablesEditor {
  /**
   * Records an edit. Rejects as `Leader.commit` does, and with
   * `UnknownBaseError`, without any effect, if the base of the difference is not
   * known.
   */
  edit(
    id: string,
    request: RequestOf<'edit'> | RequestOf<'edit-difference'>,
  ): Promise<Reply>;
}

/** Records the edits while this process leads. */
export function createTablesEditor(options: TablesEditorOptions): TablesEditor {
  const {replica, leader, log, metrics} = options;
  const edits = countEdits(metrics);
  /** Recorded tables of the last versions, the newest first. */
  let bases: readonly Tables[] = [];
  /**
   * The edit of the highest version that is proposed and not settled. The next
   * one is based on it, so that edits that arrive together need one commit. No
   * other content of its version is proposed meanwhile, so a difference that is
   * based on it is never applied to other tables of the same version.
   */
  let proposed:
    {readonly tables: Tables; readonly settled: Promise<void>} | undefined;
  /**
   * Whether an edit that was rejected may still be committed, with other content
   * than a later one of its version. Until a later edit is committed, edits are
   * based on recorded tables only.
   */
  let isUndecided = false;

  function rememberBase(): void {
    const {tables} = replica.state();
    if (bases[0] === tables) return;
    bases = [tables, ...bases].slice(0, MAX_BASES);
  }

  async function edit(
    id: string,
    request: RequestOf<'edit'> | RequestOf<'edit-difference'>,
  ): Promise<Reply> {
    rememberBase();
    const received: Edit =
      request.type === 'edit'
        ? {tables: request.tables}
        : rebuild(id, request.difference);
    const {tables} = received;
    const {version} = tables;
    const reason = findContradiction(tables);
    if (reason !== undefined) {
      log.info('tables-refused', {request: id, version, reason});
      return refuse('invalid', reason);
    }
    const {outcome, form} = await record(received);
    rememberBase();
    edits.add({form, outcome});
    log.info('tables-edited', {request: id, version, outcome, form});
    return outcome === 'conflict'
      ? refuse('conflict', `version ${version} has other content`)
      : {type: 'done'};
  }

  function rebuild(id: string, difference: TablesDifference): Edit {
    const {base: baseVersion, version} = difference;
    const base = bases.find(each => each.version === baseVersion);
    const tables = base && applyDifference(base, difference);
    if (tables) return {tables, base, difference};
    const recorded = replica.state().tables.version;
    log.info('tables-base-unknown', {
      request: id,
      version,
      base: baseVersion,
      recorded,
    });
    throw new UnknownBaseError(`no tables of version ${baseVersion}`);
  }

  async function record(
    received: Edit,
  ): Promise<{outcome: Outcome; form: EditForm}> {
    const {tables} = received;
    let differences = 0;
    for (;;) {
      const repeated = await findRepeated(tables);
      if (repeated) return {outcome: repeated, form: 'none'};
      if (proposed && tables.version <= proposed.tables.version) {
        await proposed.settled;
        continue;
      }
      const base =
        proposed && !isUndecided ? proposed.tables : replica.state().tables;
      const difference =
        differences < MAX_DIFFERENCES
          ? differenceTo(base, received)
          : undefined;
      const outcome = await propose(
        tables,
        difference
          ? {type: 'tables-difference', difference}
          : {type: 'tables', tables},
      );
      const form = difference ? 'difference' : 'whole';
      if (outcome !== 'outdated') return {outcome, form};
      differences++;
    }
  }

  function differenceTo(
    base: Tables,
    received: Edit,
  ): TablesDifference | undefined {
    if (received.base === base) return received.difference;
    return findSmallDifference(base, received.tables);
  }

  /**
   * The outcome of an edit that the state already includes or excludes. Operators
   * resend an edit whose answer is late; recording it once more would delay the
   * next answer.
   */
  async function findRepeated(tables: Tables): Promise<Outcome | undefined> {
    const outcome = compareWithRecorded(replica.state().tables, tables);
    if (outcome !== 'conflict') return outcome;
    await replica.waitForRevision(await replica.readIndex());
    return compareWithRecorded(replica.state().tables, tables);
  }

  async function propose(tables: Tables, event: Event): Promise<Outcome> {
    const outcome = leader.commit(event);
    const settle = (isRejected: boolean) => {
      isUndecided = isRejected;
      if (proposed === own) proposed = undefined;
    };
    const own = {
      tables,
      settled: outcome.then(
        () => settle(false),
        () => settle(true),
      ),
    };
    proposed = own;
    return outcome;
  }

  return {edit};
}
