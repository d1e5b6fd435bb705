/** Operator client of the cluster under test; records its commands. */
import {
  createKey,
  type Answer,
  type Command,
  type Subject,
} from '@lentildrift/model';
import {
  createFailoverClient,
  createServiceClient,
  type ReadTopic,
} from '@lentildrift/protocol';
import {createHash, randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import type {History} from '../history.js';
import {LOOPBACK} from './port.js';

const REQUEST_TIMEOUT_MS = 3000;
const RETRY_INTERVAL_MS = 50;
const RETRY_TIMEOUT_MS = 20_000;

const statusSchema = z.object({
  role: z.string(),
  member: z.string(),
  version: z.number(),
  voters: z.array(z.string()),
  revision: z.number().optional(),
});
export type MemberStatus = z.infer<typeof statusSchema>;

export interface OperatorOptions {
  readonly history: History;
  /** Operator key, as sent in requests. */
  readonly key: string;
  readonly clusterSecret: string;
  /** Ports of the control processes, by name. */
  readonly ports: ReadonlyMap<string, number>;
}

export interface Operator {
  /**
   * Sends a command, and resends it under the same request ID until an answer
   * arrives. Throws if none arrives for 20 s.
   */
  command(command: Command, requestId?: string): Promise<Answer>;
  /** Creates an API key for the subject; resolves with the text of the key. */
  issueKey(subject: Subject): Promise<string>;
  /** Reads a topic from one control process. */
  read(topic: ReadTopic, control: string): Promise<unknown>;
  /** Resolves with undefined if the control process does not answer. */
  status(control: string): Promise<MemberStatus | undefined>;
  /** Resolves with the name of the leader as soon as there is one. */
  waitForLeader(): Promise<string>;
  /** Proposes an `observe-hosts` change, as if the platform saw these hosts. */
  proposeHealthyHosts(hosts: readonly string[]): Promise<void>;
  /**
   * Records tables and keys of each control process in the history. Resolves
   * with a digest of them per control process.
   */
  recordTables(controls: readonly string[]): Promise<readonly string[]>;
  stop(): Promise<void>;
}

export function createOperator(options: OperatorOptions): Operator {
  const {history, key, ports, clusterSecret} = options;
  const addresses = [...ports.values()].map(port => `${LOOPBACK}:${port}`);
  const failoverClient = createFailoverClient({
    addresses,
    timeoutMs: REQUEST_TIMEOUT_MS,
  });
  const clients = new Map(
    [...ports].map(([name, port]) => [
      name,
      createServiceClient({
        address: `${LOOPBACK}:${port}`,
        clusterSecret,
        timeoutMs: REQUEST_TIMEOUT_MS,
      }),
    ]),
  );

  async function command(
    content: Command,
    requestId: string = randomUUID(),
  ): Promise<Answer> {
    history.record({type: 'command-sent', requestId, command: content});
    const answer = await retry(() =>
      failoverClient.control.command({key, requestId, command: content}),
    );
    history.record({type: 'command-answered', requestId, answer});
    return answer;
  }

  async function issueKey(subject: Subject): Promise<string> {
    const {id, text, secretHash} = createKey();
    const type = 'give-key';
    const answer = await command({type, keyId: id, subject, secretHash});
    if (!answer.ok) throw new Error(answer.message);
    return text;
  }

  async function read(topic: ReadTopic, control: string): Promise<unknown> {
    const client = clients.get(control)!;
    return (await retry(() => client.control.read({key, topic}))).body;
  }

  async function status(control: string): Promise<MemberStatus | undefined> {
    const request = {key, topic: 'status' as const};
    const answer = await clients
      .get(control)!
      .control.read(request)
      .catch(() => undefined);
    return answer && statusSchema.parse(answer.body);
  }

  function waitForLeader(): Promise<string> {
    return retry(async () => {
      const names = [...clients.keys()];
      const all = await Promise.all(names.map(status));
      const found = names.find((_, index) => all[index]?.role === 'leader');
      if (found === undefined)
        throw new Error('no control process is the leader');
      return found;
    });
  }

  async function proposeHealthyHosts(hosts: readonly string[]): Promise<void> {
    const body = {
      type: 'observe-hosts' as const,
      hosts: hosts.map(id => ({
        id,
        dataCentre: 'dc-1',
        rack: `rack-of-${id}`,
        cores: 4,
        memoryMiB: 4096,
        accelerators: 0,
        healthy: true,
      })),
    };
    await retry(async () =>
      clients.get(await waitForLeader())!.peer.propose({body}),
    );
  }

  async function recordTables(controls: readonly string[]): Promise<string[]> {
    const digests: string[] = [];
    for (const member of controls) {
      const client = clients.get(member)!;
      const bodies = [];
      let revision = 0;
      for (const topic of ['tables', 'keys'] as const) {
        const answer = await retry(() => client.control.read({key, topic}));
        ({revision} = answer);
        bodies.push(answer.body);
      }
      const tables = bodies[0] as {version: number; teams: object};
      const digest = createHash('sha256')
        .update(JSON.stringify(bodies))
        .digest('hex');
      digests.push(digest);
      const {version} = tables;
      const limits = Object.fromEntries(
        Object.entries(tables.teams as Record<string, {limit: number}>).map(
          ([team, {limit}]) => [team, limit],
        ),
      );
      const event = {member, revision, version, digest, limits};
      history.record({type: 'applied', ...event});
    }
    return digests;
  }

  return {
    command,
    issueKey,
    read,
    status,
    waitForLeader,
    proposeHealthyHosts,
    recordTables,
    async stop() {
      await failoverClient.close();
      await Promise.all([...clients.values()].map(client => client.close()));
    },
  };
}

/** Repeats `attempt` until it succeeds; rethrows its error after 20 s. */
async function retry<T>(attempt: () => Promise<T>): Promise<T> {
  const deadline = performance.now() + RETRY_TIMEOUT_MS;
  for (;;) {
    try {
      return await attempt();
    } catch (error) {
      if (performance.now() > deadline) throw error;
      await sleep(RETRY_INTERVAL_MS);
    }
  }
}
