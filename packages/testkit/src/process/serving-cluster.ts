/** A cluster of processes with tables, keys and upstreams that serves calls. */
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
/** Route whose requests run at most once (`repeat: 'once'`). */
export const AT_MOST_ONCE_ROUTE = 'scores';
const POOL = 'booking';
const SERVING_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 10;
export const HOSTS: readonly string[] = ['h1', 'h2', 'h3'];

/** Services of the two upstreams; edits switch the route between them. */
export type Service = 'odd' | 'even';

export interface ServingCluster extends Cluster {
  /** API key of `TEAM`. */
  readonly teamKey: string;
  /** The first serves `odd`, the second `even`; the route starts with `odd`. */
  readonly upstreams: readonly RecordingUpstream[];
  /** Edits the tables at version `basedOn`: the routes then lead to `service`. */
  edit(basedOn: number, service: Service, requestId?: string): Promise<Answer>;
  /** Starts and announces another upstream of the service. */
  addUpstream(service: Service): Promise<RecordingUpstream>;
  /**
   * Resolves once a call through the entry host is answered by `service`.
   * Throws after `timeoutMs`.
   */
  waitUntilServing(
    entry: EntryHost,
    service: Service,
    timeoutMs?: number,
  ): Promise<void>;
}

/** The edit that creates the version after `basedOn`; its routes lead to `service`. */
export function buildTableEdit(basedOn: number, service: Service): TableEdit {
  const pool = {
    name: POOL,
    kind: 'calls',
    hosts: [...HOSTS],
    slotsPerHost: 128,
    connectionsPerHost: 256,
  };
  // The share differs in each version, so that no two versions are equal.
  const team = {name: TEAM, share: basedOn + 1, limit: TEAM_LIMIT};
  const route = {name: ROUTE, pool: POOL, service, timeoutMs: 8000};
  return tableEditSchema.parse({
    basedOn,
    teams: [team],
    pools: [pool],
    routes: [route, {...route, name: AT_MOST_ONCE_ROUTE, repeat: 'once'}],
  });
}

/** Starts the cluster with its first `startedEntries` entry hosts, all by default. */
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
    const newestVersions: Record<Service, number> = {odd: 0, even: 0};
    const edit = (basedOn: number, service: Service, requestId?: string) => {
      newestVersions[service] = Math.max(newestVersions[service], basedOn + 1);
      const content = buildTableEdit(basedOn, service);
      return operator.command({type: 'edit', edit: content}, requestId);
    };
    const firstEdit = await edit(0, 'odd');
    if (!firstEdit.ok) throw new Error(firstEdit.message);
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
        newestVersion: () => newestVersions[service],
        history,
        entryPorts: () => started.map(({port}) => port),
      });
      upstreams.push(upstream);
      return upstream;
    };
    const waitUntilServing = async (
      entry: EntryHost,
      service: Service,
      timeoutMs = SERVING_TIMEOUT_MS,
    ) => {
      const deadline = performance.now() + timeoutMs;
      const options = {entry, route: ROUTE, team: TEAM, key: teamKey};
      for (;;) {
        const {status, body} = await caller.call(options);
        if (status === 200 && body.includes(`"service":"${service}"`)) return;
        if (performance.now() > deadline) {
          throw new Error(
            `${entry.name} does not forward calls to ${service}: ${body}`,
          );
        }
        await sleep(POLL_INTERVAL_MS);
      }
    };
    await addUpstream('odd');
    await addUpstream('even');
    await Promise.all(started.map(entry => waitUntilServing(entry, 'odd')));
    return {
      ...cluster,
      teamKey,
      upstreams,
      addUpstream,
      edit,
      waitUntilServing,
      stop,
    };
  } catch (error) {
    await stop();
    throw error;
  }
}
