import {describe, expect, it} from 'vitest';
import {createRoster, directoryKey} from '../src/directory.js';
import {EMPTY_VIEW, hostPhaseSchema, type RosterItem} from '@lentildrift/model';
import {startTasks} from '@lentildrift/task';

const PHASES = hostPhaseSchema.options;

/**
 * Returns the hosts in the directory, given one host of pool `lanes` in each
 * phase, each with a live upstream that announces `announcedPool`.
 */
async function listRoutableHosts(announcedPool = 'lanes') {
  const tasks = startTasks(() => undefined);
  const roster = createRoster(tasks);
  const items: RosterItem[] = PHASES.map((phase, index) => ({
    announcement: {
      pool: announcedPool,
      service: 'booking',
      host: phase,
      address: `127.0.0.1:${index + 1}`,
      incarnation: 1,
      sequence: 1,
      leaseMs: 5000,
    },
    left: false,
    ageMs: 0,
  }));
  const hosts = Object.fromEntries(
    PHASES.map(phase => [phase, {pool: 'lanes', phase}]),
  );
  roster.task.post({type: 'merge', items});
  roster.task.post({type: 'view', view: {...EMPTY_VIEW, revision: 1, hosts}});
  await roster.task.stop();
  tasks.stop();
  const found = roster.directory.value.get(
    directoryKey(announcedPool, 'booking'),
  );
  return (found ?? []).map(({announcement}) => announcement.host).sort();
}

describe('the directory of upstreams', () => {
  it('holds joining and serving hosts only', async () => {
    expect(await listRoutableHosts()).toEqual(['joining', 'serving']);
  });

  it('holds no upstream that announces a pool to which its host does not belong', async () => {
    expect(await listRoutableHosts('rota')).toEqual([]);
  });
});
