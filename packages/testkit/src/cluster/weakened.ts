/** Weakened variants of the product's mechanisms, for proofs that checks fail without them. */
import {Rules, type StateMachine} from '@lentildrift/consensus';
import {
  LimitPolicy,
  stateMachine,
  type LimitDecision,
  type LimitInput,
} from '@lentildrift/control';
import {EntryRules} from '@lentildrift/entry';
import {
  sliceTotal,
  type Answer,
  type Change,
  type State,
  type Verdict,
} from '@lentildrift/model';

/** What a cluster is made of; the product's own parts by default. */
export interface Mechanisms {
  readonly rules?: Rules;
  readonly entryRules?: EntryRules;
  readonly policy?: LimitPolicy;
  readonly stateMachine?: StateMachine<State, Change, Answer>;
  /** Whether a host that lost its disk comes back under a new member ID. */
  readonly reusesMemberId?: boolean;
}

class WithoutReadRound extends Rules {
  override hasLostQuorum(): boolean {
    return false;
  }
  override isReadRoundRequired(): boolean {
    return false;
  }
}

class WithoutLease extends EntryRules {
  override leaseEndMs(): number {
    return Infinity;
  }
}

class WithoutSecondCheck extends EntryRules {
  override revalidatesBeforeSending(): boolean {
    return false;
  }
}

class AdmittingAll extends EntryRules {
  override canAdmit(): boolean {
    return true;
  }
}

class RepeatingAlways extends EntryRules {
  override canRetry(): boolean {
    return true;
  }
}

class RefusingFalsely extends EntryRules {
  override verdictWithoutResponse(): Verdict {
    return 'not-run';
  }
}

class WithoutClaims extends EntryRules {
  override claimsBeforeForwarding(): boolean {
    return false;
  }
}

class WithoutTombstones extends EntryRules {
  override keepsTombstones(): boolean {
    return false;
  }
}

class EndingBrokenAnswers extends EntryRules {
  override closesOnTruncatedResponse(): boolean {
    return false;
  }
}

class WithoutDrain extends EntryRules {
  override drainsOnStop(): boolean {
    return false;
  }
}

/** Gives slices as they are asked for, whatever they sum up to. */
const withoutSliceSum: StateMachine<State, Change, Answer> = {
  ...stateMachine,
  apply(state, change) {
    if (change.body.type !== 'set-slices') {
      return stateMachine.apply(state, change);
    }
    const raised = Object.fromEntries(
      Object.entries(state.tables.teams).map(([name, team]) => [
        name,
        {...team, limit: team.limit * 3 + sliceTotal(state.slices, name)},
      ]),
    );
    const tables = {...state.tables, teams: raised};
    const result = stateMachine.apply({...state, tables}, change);
    return {...result, state: {...result.state, tables: state.tables}};
  },
};

/** Runs a resent command again, as if it had come for the first time. */
const withoutRecordedAnswers: StateMachine<State, Change, Answer> = {
  ...stateMachine,
  apply(state, change) {
    const result = stateMachine.apply({...state, answers: []}, change);
    return {...result, state: {...result.state, answers: []}};
  },
};

/** Takes an edit whatever version it is based on. */
const withoutVersions: StateMachine<State, Change, Answer> = {
  ...stateMachine,
  apply(state, change) {
    const {body} = change;
    if (body.type !== 'command' || body.command.type !== 'edit') {
      return stateMachine.apply(state, change);
    }
    const edit = {...body.command.edit, basedOn: state.tables.version};
    const command = {...body.command, edit};
    return stateMachine.apply(state, {...change, body: {...body, command}});
  },
};

/** Returns the slices of a closed session at once, while its calls still run. */
const withoutHold: StateMachine<State, Change, Answer> = {
  ...stateMachine,
  apply(state, change) {
    const result = stateMachine.apply(state, change);
    const {body} = change;
    if (body.type !== 'close-session') return result;
    const ended = {
      atMs: change.atMs,
      body: {...body, type: 'end-session' as const},
    };
    const after = stateMachine.apply(result.state, ended).state;
    return {...result, state: {...after, revision: result.state.revision}};
  },
};

/** Asks for the whole limit for every session; only `apply` is in its way. */
export class GreedyPolicy extends LimitPolicy {
  protected override divide(): readonly number[] {
    return [];
  }

  override decide({limit, holders}: LimitInput): LimitDecision {
    const slices = holders
      .filter(({phase}) => phase === 'open')
      .map(({session, slice}) => ({
        session,
        basedOn: slice?.generation ?? 0,
        amount: limit,
      }));
    return {targets: new Map(), slices};
  }
}

/** Mechanism to what the cluster is made of without it. */
export const WEAKENED_MECHANISMS: Readonly<Record<string, Mechanisms>> = {
  'freshness-lease': {entryRules: new WithoutLease()},
  'second-check': {entryRules: new WithoutSecondCheck()},
  'slice-admission': {entryRules: new AdmittingAll()},
  'retry-only-on-proof': {entryRules: new RepeatingAlways()},
  'true-verdicts': {entryRules: new RefusingFalsely()},
  'claim-before-forwarding': {entryRules: new WithoutClaims()},
  tombstones: {entryRules: new WithoutTombstones()},
  'broken-connections': {entryRules: new EndingBrokenAnswers()},
  drain: {entryRules: new WithoutDrain()},
  'read-round': {rules: new WithoutReadRound()},
  'new-member-id': {reusesMemberId: true},
  'session-hold': {stateMachine: withoutHold},
  'slice-sum': {stateMachine: withoutSliceSum},
  'recorded-answers': {stateMachine: withoutRecordedAnswers},
  'table-versions': {stateMachine: withoutVersions},
};
