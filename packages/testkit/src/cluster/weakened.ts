/**
 * Weakened variants of the product's mechanisms. Proofs use them to show that the
 * checks find violations when a mechanism is missing.
 */
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

/** Replaceable mechanisms of a cluster; the default is the product's own. */
export interface Mechanisms {
  readonly rules?: Rules;
  readonly entryRules?: EntryRules;
  readonly policy?: LimitPolicy;
  readonly stateMachine?: StateMachine<State, Change, Answer>;
  /** Whether a host that lost its disk keeps its old member ID. */
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

class AlwaysAdmitting extends EntryRules {
  override canAdmit(): boolean {
    return true;
  }
}

class AlwaysRetrying extends EntryRules {
  override canRetry(): boolean {
    return true;
  }
}

class AlwaysReportingNotRun extends EntryRules {
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

class CompletingTruncatedResponses extends EntryRules {
  override closesOnTruncatedResponse(): boolean {
    return false;
  }
}

class WithoutDrain extends EntryRules {
  override drainsOnStop(): boolean {
    return false;
  }
}

/** Grants slices as requested, even if their sum exceeds the limit. */
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

/** Applies a resent command again, as if it had not been answered before. */
const withoutRecordedAnswers: StateMachine<State, Change, Answer> = {
  ...stateMachine,
  apply(state, change) {
    const result = stateMachine.apply({...state, answers: []}, change);
    return {...result, state: {...result.state, answers: []}};
  },
};

/** Accepts an edit no matter on which version it is based. */
const withoutVersionCheck: StateMachine<State, Change, Answer> = {
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

/** Releases the slices of a closed session at once, while its calls still run. */
const withoutSessionHold: StateMachine<State, Change, Answer> = {
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

/** Requests the whole limit for every session, which only `apply` can reject. */
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

/** For each mechanism, the replacements that disable it. */
export const WEAKENED_MECHANISMS: Readonly<Record<string, Mechanisms>> = {
  'freshness-lease': {entryRules: new WithoutLease()},
  'second-check': {entryRules: new WithoutSecondCheck()},
  'slice-admission': {entryRules: new AlwaysAdmitting()},
  'retry-only-on-proof': {entryRules: new AlwaysRetrying()},
  'true-verdicts': {entryRules: new AlwaysReportingNotRun()},
  'claim-before-forwarding': {entryRules: new WithoutClaims()},
  tombstones: {entryRules: new WithoutTombstones()},
  'broken-connections': {entryRules: new CompletingTruncatedResponses()},
  drain: {entryRules: new WithoutDrain()},
  'read-round': {rules: new WithoutReadRound()},
  'new-member-id': {reusesMemberId: true},
  'session-hold': {stateMachine: withoutSessionHold},
  'slice-sum': {stateMachine: withoutSliceSum},
  'recorded-answers': {stateMachine: withoutRecordedAnswers},
  'table-versions': {stateMachine: withoutVersionCheck},
};
