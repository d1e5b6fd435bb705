/** A cluster with tables, keys and upstreams, ready for calls. */
import type {Answer, TableEdit} from '@lentildrift/model';
import {tableEditSchema} from '@lentildrift/model';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  startCluster,
  type Cluster,
  type ClusterOptions,
  type EntryHost,
} from './cluster.js';
import {startRecordingUpstream, type RecordingUpstream} from './upstream.js';

export const TEAM = 'juniors';
export const TEAM_LIMIT = 64;
export const ROUTE = 'lanes';
/** Its requests must not be repeated. */
export const AT_MOST_ONCE_ROUTE = 'scores';
const POOL = 'booking';
const READY_MS = 10_000;
const POLL_MS = 10;
export const HOSTS: readonly string[] = ['h1', 'h2', 'h3'];

export type Service = 'odd' | 'even';

export interface ServingCluster extends Cluster {
  readonly teamKey: string;
  /** The first serves `odd`, the second `even`; the route begins at `odd`. */
  readonly upstreams: readonly RecordingUpstream[];
  /** Sends calls to `service` from the version after `basedOn`. */
  edit(basedOn: number, service: Service, requestId?: string): Promise<Answer>;
  addUpstream(service: Service): Promise<RecordingUpstream>;
  /** Resolves once an entry host has passed a call on to `service`. */
  waitUntilServing(
    entry: EntryHost,
    service: Service,
    timeoutMs?: number,
  ): Promise<void>;
}

/** The edit of one version; the service of the route shows which it is. */
export function buildTableEdit(basedOn: number, service: Service): TableEdit {
  const pool = {
    name: POOL,
    kind: 'calls',
    hosts: [...HOSTS],
    slotsPerHost: 128,
    connectionsPerHost: 256,
  };
  // The share differs, so that each version has tables of its own.
  const team = {name: TEAM, share: basedOn + 1, limit: TEAM_LIMIT};
  const route = {name: ROUTE, pool: POOL, service, timeoutMs: 8000};
  return tableEditSchema.parse({
    basedOn,
    teams: [team],
    pools: [pool],
    routes: [route, {...route, name: AT_MOST_ONCE_ROUTE, repeat: 'once'}],
  });
}

/** Starts everything; the first `startedEntries` entry hosts run. */
export async function startServingCluster(
  options: ClusterOptions & {readonly startedEntries?: number},
): Promise<ServingCluster> {
  const cluster = await startCluster(options);
  const upstreams: RecordingUpstream[] = [];

  async function stop(): Promise<void> {
    await Promise.all(upstreams.map(upstream => upstream.stop()));
    await cluster.stop();
  }

  try {
    const {operator, entries, history, caller} = cluster;
    const newest: Record<Service, number> = {odd: 0, even: 0};
    const edit = (basedOn: number, service: Service, requestId?: string) => {
      newest[service] = Math.max(newest[service], basedOn + 1);
      const content = buildTableEdit(basedOn, service);
      return operator.command({type: 'edit', edit: content}, requestId);
    };
    const first = await edit(0, 'odd');
    if (!first.ok) throw new Error(first.message);
    await operator.proposeHealthyHosts(HOSTS);
    const teamKey = await operator.issueKey({kind: 'team', team: TEAM});
    const poolKey = await operator.issueKey({kind: 'pool', pool: POOL});
    await operator.recordTables(cluster.controls);
    const started = entries.slice(0, options.startedEntries);
    await cluster.startEntries(started.map(({name}) => name));

    const addUpstream = async (service: Service) => {
      const upstream = await startRecordingUpstream({
        host: HOSTS[upstreams.length % HOSTS.length]!,
        pool: POOL,
        service,
        key: poolKey,
        newestVersion: () => newest[service],
        history,
        entryPorts: () => started.map(({port}) => port),
      });
      upstreams.push(upstream);
      return upstream;
    };
    const ready = async (
      entry: EntryHost,
      service: Service,
      timeoutMs = READY_MS,
    ) => {
      const deadline = performance.now() + timeoutMs;
      const options = {entry, route: ROUTE, team: TEAM, key: teamKey};
      for (;;) {
        const {status, body} = await caller.call(options);
        if (status === 200 && body.includes(`"service":"${service}"`)) return;
        if (performance.now() > deadline) {
          throw new Error(`${entry.name} does not reach ${service}: ${body}`);
        }
        await sleep(POLL_MS);
      }
    };
    await addUpstream('odd');
    await addUpstream('even');
    await Promise.all(started.map(entry => ready(entry, 'odd')));
    return {
      ...cluster,
      teamKey,
      upstreams,
      addUpstream,
      edit,
      waitUntilServing: ready,
      stop,
    };
  } catch (error) {
    await stop();
    throw error;
  }
}
