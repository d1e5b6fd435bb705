/** The embedded default: every role in one process on loopback. */
import {SoloReplica} from '@lentildrift/consensus';
import {createControl, stateMachine} from '@lentildrift/control';
import {startEntry} from '@lentildrift/entry';
import {createKey, type Command, type Subject} from '@lentildrift/model';
import type {Log} from '@lentildrift/observe';
import {sampleTables, startUpstream} from '@lentildrift/sample';
import {startTasks} from '@lentildrift/task';
import {randomUUID} from 'node:crypto';

export interface EmbeddedOptions {
  readonly log: Log;
  readonly entryPort: number;
}

export interface Embedded {
  readonly entryPort: number;
  /** Key of the sample team. */
  readonly teamKey: string;
  stop(): Promise<void>;
}

export async function startEmbedded(
  options: EmbeddedOptions,
): Promise<Embedded> {
  const {log} = options;
  const tasks = startTasks((task, error) =>
    log.error('task-failed', {task, error: error.message}),
  );
  const replica = new SoloReplica(stateMachine);
  const run = async (command: Command) => {
    const requestId = randomUUID();
    const body = {type: 'command' as const, requestId, command};
    await replica.propose({atMs: Date.now(), body});
  };
  const give = async (subject: Subject) => {
    const {id, text, secretHash} = createKey();
    await run({type: 'give-key', keyId: id, subject, secretHash});
    return text;
  };
  await run({type: 'edit', edit: sampleTables()});
  await replica.propose({
    atMs: Date.now(),
    body: {
      type: 'observe-hosts',
      hosts: [
        {
          id: 'sample-1',
          dataCentre: 'dc-1',
          rack: 'rack-1',
          cores: 4,
          memoryMiB: 4096,
          accelerators: 0,
          healthy: true,
        },
      ],
    },
  });
  const teamKey = await give({kind: 'team', team: 'juniors'});
  const poolKey = await give({kind: 'pool', pool: 'booking'});
  const role = createControl({replica, tasks, log});
  const entry = await startEntry({
    control: role.control,
    tasks,
    log,
    entryHost: 'entry-1',
    host: '127.0.0.1',
    port: options.entryPort,
  });
  const upstream = await startUpstream({
    pool: 'booking',
    service: 'booking',
    host: 'sample-1',
    key: poolKey,
    entry: `127.0.0.1:${entry.port}`,
  });

  async function stop(): Promise<void> {
    await upstream.stop();
    await entry.stop();
    await role.stop();
    tasks.stop();
  }

  return {entryPort: entry.port, teamKey, stop};
}
