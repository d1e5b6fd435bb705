/** Tests the start of a new control group. */
import {MemoryDisk, openDiskStore} from '@lentildrift/storage';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {SimulatedFileSystem} from '../../storage/test/simulated-files.js';
import {MemberIdentity} from '../src/index.js';
import {startGroup, type Group} from './group.js';

let group: Group;

beforeEach(() => void vi.useFakeTimers());

afterEach(async () => {
  await group.stop();
  vi.useRealTimers();
});

describe('a new control group', () => {
  it.each([0, 2, 5, 50, 150, 250, 400])(
    'has a leader although its first host is killed %i ms after the start',
    async killedMs => {
      group = await startGroup({
        voterCount: 3,
        async duringStart(starting) {
          await starting.advance(killedMs);
          const first = starting.hosts[0]!;
          starting.crash(first);
          await starting.advance(1000);
          await starting.start(first);
        },
      });
      expect(group.leader()).toBeDefined();
    },
  );

  it.each([
    {stored: 'nothing', hasId: false},
    {stored: 'its ID only', hasId: true},
  ])(
    'has a leader although its first host is killed when it has stored $stored',
    async ({hasId}) => {
      group = await startGroup({
        voterCount: 3,
        async duringStart(starting) {
          const first = starting.hosts[0]!;
          starting.crash(first);
          if (hasId) first.disk = new MemoryDisk();
          else starting.wipe(first);
          await starting.advance(1000);
          await starting.start(first);
        },
      });
      expect(group.leader()).toBeDefined();
    },
  );
});

describe('the identity of a member', () => {
  const seeds = ['10.0.0.1:1', '10.0.0.2:1'];

  it('lets a host without its disk neither bootstrap a group nor reuse its ID', () => {
    const options = {address: '10.0.0.1:1', seeds};
    const first = new MemberIdentity({...options, firstStart: true});
    expect(first.initialVoters()).toEqual([
      '10.0.0.1:1/first',
      '10.0.0.2:1/first',
    ]);
    expect(first.newMemberId()).toBe('10.0.0.1:1/first');
    const wiped = new MemberIdentity({...options, firstStart: false});
    expect(wiped.initialVoters()).toEqual([]);
    expect(wiped.newMemberId()).not.toBe(first.newMemberId());
  });

  it('lets a process that is no seed join the group of the seeds', () => {
    const options = {address: '10.0.0.3:1', seeds, firstStart: true};
    const identity = new MemberIdentity(options);
    expect(identity.initialVoters()).toEqual([]);
    expect(identity.newMemberId()).not.toBe('10.0.0.3:1/first');
  });

  it('remembers the voters of a new group when a process ends before its first entry', async () => {
    const files = new SimulatedFileSystem();
    const open = async (firstStart: boolean) => {
      const identitySource = new MemberIdentity({
        address: '10.0.0.1:1',
        seeds,
        firstStart,
      });
      const locker = async () => ({release: async () => {}});
      const options = {identitySource, locker, files};
      const {identity, store} = await openDiskStore('/data', 'g', options);
      await store.close();
      return identity;
    };
    const identity = await open(true);
    files.restart('all');
    expect(await open(false)).toEqual(identity);
    expect(identity.initialVoters).toHaveLength(2);
  });
});
