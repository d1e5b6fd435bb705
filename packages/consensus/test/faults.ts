/** Runs a group under seeded random faults and checks what happened. */
import {Cluster, type ClusterOptions, type Host} from './cluster.js';
import {SmallRules} from './weakened-rules.js';

const STEPS = 40;

export interface Outcome {
  readonly violations: readonly string[];
  readonly acknowledged: number;
  readonly reads: number;
  readonly snapshotParts: number;
}

export async function runFaults(options: ClusterOptions): Promise<Outcome> {
  const cluster = new Cluster({
    snapshotEvery: 20,
    rules: new SmallRules(),
    ...options,
  });
  const {random, network, history} = cluster;
  network.faults = {
    lossPercent: random.int(0, 15),
    duplicatePercent: random.int(0, 15),
    maxDelayMs: random.pick([3, 20, 200]),
  };
  await cluster.start();
  await cluster.advance(2000);
  for (let i = 0; i < STEPS; i++) {
    await injectFault(cluster);
    for (const host of cluster.liveHosts()) {
      // Requests also go to a deposed leader that does not know it yet.
      if (host.replica!.status().role !== 'leader') continue;
      for (let n = random.int(0, 4); n > 0; n--) void cluster.propose(host);
      void cluster.read(host);
    }
    await cluster.advance(random.int(1, 800));
  }
  await checkRecovery(cluster);
  await cluster.stop();
  return {
    violations: [...history.violations, ...cluster.failures],
    acknowledged: history.acknowledged.length,
    reads: history.reads,
    snapshotParts: network.sentByType.get('snapshot') ?? 0,
  };
}

async function injectFault(cluster: Cluster): Promise<void> {
  const {random, network} = cluster;
  const host = random.pick(cluster.hosts);
  const others = cluster.hosts.filter(other => other !== host);
  switch (random.int(0, 9)) {
    case 0:
      cluster.kill(host);
      break;
    case 1:
      host.crashAt = {
        point: random.pick(['before', 'after'] as const),
        skip: random.int(0, 3),
      };
      break;
    case 2:
      network.cut(host.member, random.pick(others).member);
      break;
    case 3:
      network.isolate(
        host.member,
        others.map(({member}) => member),
      );
      break;
    case 4:
      cluster.leader()?.replica!.transferLeadership();
      break;
    case 5:
    case 6:
      network.heal();
      break;
    case 7:
      await replaceHost(cluster, host);
      break;
    default:
      await cluster.start();
  }
}

/** Loses the disk of `host` while all other hosts run, and replaces it. */
async function replaceHost(cluster: Cluster, host: Host): Promise<void> {
  cluster.network.heal();
  for (const other of cluster.hosts) delete other.crashAt;
  await cluster.start();
  const leader = cluster.leader();
  if (!leader || leader === host) return;
  const old = host.member;
  if (!leader.replica!.status().voters.includes(old)) return;
  cluster.wipe(host);
  await cluster.start(host);
  if (!(await cluster.repair(host, old))) {
    cluster.history.report(`${host.member} could not replace ${old}`);
  }
}

/** Ends all faults, then checks that the group makes progress and agrees. */
async function checkRecovery(cluster: Cluster): Promise<void> {
  const {network, history} = cluster;
  network.heal();
  network.faults = {lossPercent: 0, duplicatePercent: 0, maxDelayMs: 3};
  for (const host of cluster.hosts) delete host.crashAt;
  await cluster.start();
  await cluster.advance(10_000);
  const leader = cluster.leader();
  if (!leader) {
    history.report('no leader after the faults');
    return;
  }
  const proposing = cluster.propose(leader);
  await cluster.advance(2000);
  if (!(await proposing)) history.report('no progress after the faults');
  for (const {member, replica} of cluster.liveHosts()) {
    history.checkAll(member, replica!.state());
    history.checkComplete(member, replica!.state());
  }
}
