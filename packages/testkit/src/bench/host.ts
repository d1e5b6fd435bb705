/** Child process: one entry host with a control service of constant content. */
import {startEntry} from '@lentildrift/entry';
import {
  createKey,
  poolSchema,
  routeSchema,
  teamSchema,
  type NewKey,
} from '@lentildrift/model';
import {createLog} from '@lentildrift/observe';
import {
  ControlService,
  type SyncRequest,
  type SyncResponse,
} from '@lentildrift/protocol';
import {startTasks} from '@lentildrift/task';
import {serveParent} from './child.js';

/** More slots than the load uses, so that no call is refused. */
const SLOT_COUNT = 256;

/** Serves one route, pool, team, key and upstream, all named `bench`. */
class StaticControl extends ControlService {
  constructor(
    private readonly teamKey: NewKey,
    private readonly address: string,
  ) {
    super();
  }

  override async openSession() {
    return {session: 'bench'};
  }

  override async closeSession() {}

  override async sync(request: SyncRequest): Promise<SyncResponse> {
    const pool = 'bench';
    const limit = SLOT_COUNT;
    const {id, secretHash} = this.teamKey;
    const subject = {kind: 'team' as const, team: pool};
    const tables = {
      routes: {
        bench: routeSchema.parse({name: pool, pool, service: pool}),
      },
      pools: {
        bench: poolSchema.parse({
          name: pool,
          kind: 'calls',
          hosts: [pool],
          slotsPerHost: SLOT_COUNT,
          connectionsPerHost: SLOT_COUNT,
        }),
      },
      teams: {bench: teamSchema.parse({name: pool, share: 1, limit})},
      keys: {[id]: {id, subject, secretHash, givenAtMs: 0}},
      hosts: {bench: {pool, phase: 'serving' as const}},
    };
    const sections = Object.entries(tables).map(([name, set]) => [
      name,
      {set, removed: []},
    ]);
    const changes = request.revision === 0 ? Object.fromEntries(sections) : {};
    const announcement = {
      pool,
      service: pool,
      host: pool,
      address: this.address,
      incarnation: 1,
      sequence: Math.floor(performance.now()),
      leaseMs: 30_000,
    };
    return {
      ok: true,
      readIndex: 1,
      view: {from: request.revision, to: 1, version: 1, ...changes},
      slices: {bench: {amount: limit, generation: 1}},
      targets: {},
      useHeld: true,
      roster: [{announcement, left: false, ageMs: 0}],
      rosterVersion: 1,
    };
  }

  override claim = throwUnused;
  override settle = throwUnused;
  override command = throwUnused;
  override read = throwUnused;
  override submit = throwUnused;
  override cancel = throwUnused;
  override jobs = throwUnused;
}

function throwUnused(): never {
  throw new Error('the measurement does not use this method');
}

const key = createKey();
const log = createLog('warn');
const entry = await startEntry({
  control: new StaticControl(key, process.argv[2]!),
  tasks: startTasks((task, error) =>
    log.error('task-failed', {task, error: error.message}),
  ),
  log,
  entryHost: 'bench',
  host: '127.0.0.1',
  port: 0,
});
serveParent({port: entry.port, key: key.text});
