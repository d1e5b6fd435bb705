/**
 * Simple baseline policies, against which the default policies are measured.
 */
import {isAvailable} from '@lentildrift/model';
import {MovePolicy, type MoveInput, type MoveProposal} from './move.js';
import {
  canStart,
  PlacementPolicy,
  assignJob,
  findUnplaceableReason,
  type PlacementResult,
  type PlacementInput,
} from './placement.js';
import {
  collectTeamUsage,
  SharePolicy,
  type ShareInput,
  type ShareResult,
} from './share.js';
import {
  canTakeDown,
  listOpenWaves,
  WavePolicy,
  type WaveInput,
  type WaveProposal,
} from './wave.js';

/** Gives each team a fixed slice by its weight. Idle share is never lent. */
export class StaticShares extends SharePolicy {
  override share(input: ShareInput): ShareResult {
    const teams = Object.values(input.state.tables.teams);
    const weights = teams.reduce((sum, team) => sum + team.share, 0);
    const order = collectTeamUsage(input).flatMap(usage => {
      const slice = usage.weight / weights;
      let {used, startsLeft} = usage;
      return usage.queued.flatMap(({job, share}) => {
        // A job that is larger than the slice may still run, but alone.
        if (startsLeft <= 0 || (used > 0 && used + share > slice)) return [];
        used += share;
        startsLeft--;
        return [job];
      });
    });
    return {order, lent: [], preemptors: []};
  }
}

/**
 * Places each job by its declared size on the first worker with enough room.
 */
export class FirstFitPlacement extends PlacementPolicy {
  override place({
    order,
    workers,
    poolHosts: sizes,
  }: PlacementInput): PlacementResult {
    const result: PlacementResult = {placements: [], parked: [], waiting: []};
    for (const job of order) {
      const reason = findUnplaceableReason(job, sizes);
      if (reason) {
        result.parked.push({job: job.id, reason});
        continue;
      }
      const worker = workers.find(w => canStart(w, job, job.declared));
      if (!worker) {
        result.waiting.push(job);
        continue;
      }
      assignJob(worker, job, job.declared);
      result.placements.push({job: job.id, host: worker.host.id});
    }
    return result;
  }
}

/** Proposes all pending hosts in wave order; only the budgets limit them. */
export class GreedyWaves extends WavePolicy {
  override choose({state}: WaveInput): WaveProposal[] {
    return listOpenWaves(state).flatMap(wave =>
      wave.pending.flatMap(id => {
        const host = state.hosts[id];
        if (!host || host.permit || !canTakeDown(host)) return [];
        return [{host: id, wave: wave.id}];
      }),
    );
  }
}

/**
 * Moves a spare host to any pool that is short of hosts, and back once the pool
 * has a surplus. Spare hosts are recognised by the prefix `spare` of their IDs.
 */
export class FixedSpareMoves extends MovePolicy {
  override choose({state, pools}: MoveInput): MoveProposal[] {
    const spare = pools.find(pool => pool.kind === 'spare');
    if (!spare) return [];
    const free = spare.hosts.filter(isAvailable);
    const proposals: MoveProposal[] = [];
    for (const pool of pools) {
      if (pool.kind === 'spare' || pool.arriving > 0) continue;
      const lentSpares = pool.hosts.filter(
        host => isAvailable(host) && host.id.startsWith('spare'),
      );
      if (pool.demandHosts > pool.available && free.length > 0) {
        const host = free.shift()!;
        proposals.push({host: host.id, targetPool: pool.name});
      } else if (lentSpares[0] && pool.demandHosts < pool.available - 1) {
        proposals.push({host: lentSpares[0].id, targetPool: spare.name});
      }
    }
    return proposals.filter(({host}) => state.hosts[host]);
  }
}
