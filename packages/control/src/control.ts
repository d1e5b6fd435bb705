/** The control role: answers entry hosts and operators from the state. */
import {
  allJobs,
  mergeRoster,
  rosterItems,
  verifyKey,
  type Answer,
  type ChangeBody,
  type Roster,
} from '@lentildrift/model';
import type {Log} from '@lentildrift/observe';
import {
  ControlService,
  ServiceError,
  type CancelRequest,
  type ClaimRequest,
  type ClaimResponse,
  type CloseSessionRequest,
  type CommandRequest,
  type JobsRequest,
  type JobsResponse,
  type OpenSessionRequest,
  type OpenSessionResponse,
  type ReadRequest,
  type ReadResponse,
  type SettleRequest,
  type SubmitRequest,
  type SyncRequest,
  type SyncResponse,
} from '@lentildrift/protocol';
import type {Reply, Task, TaskSystem} from '@lentildrift/task';
import {randomUUID} from 'node:crypto';
import type {StateReplica} from './machine.js';
import {createViews} from './views.js';

const ASK_TIMEOUT_MS = 2000;

export interface ControlOptions {
  readonly replica: StateReplica;
  readonly tasks: TaskSystem;
  readonly log: Log;
}

type RosterMessage =
  | {type: 'merge'; items: SyncRequest['roster']}
  | {type: 'read'; reply: Reply<Roster>};

/** Starts the control role over a replica. */
export function createControl(options: ControlOptions): ControlService {
  const {replica, tasks} = options;
  const roster = tasks.spawn<Roster, RosterMessage>({
    name: 'roster',
    initial: new Map(),
    handle(state, message) {
      if (message.type === 'merge') {
        return mergeRoster(state, message.items, performance.now());
      }
      message.reply.resolve(state);
      return state;
    },
  });
  return new LocalControl(replica, roster);
}

class LocalControl extends ControlService {
  private readonly views;

  constructor(
    private readonly replica: StateReplica,
    private readonly roster: Task<RosterMessage>,
  ) {
    super();
    this.views = createViews(replica.state());
    replica.watch(({state}) => this.views.add(state));
  }

  override async openSession(
    request: OpenSessionRequest,
  ): Promise<OpenSessionResponse> {
    const session = randomUUID();
    await this.propose({
      type: 'open-session',
      session,
      entryHost: request.entryHost,
    });
    return {session};
  }

  override async closeSession(request: CloseSessionRequest): Promise<void> {
    const {session} = request;
    await this.propose({type: 'close-session', session});
    await this.propose({type: 'end-session', session});
  }

  override async sync(request: SyncRequest): Promise<SyncResponse> {
    const readIndex = await this.replica.readIndex();
    await this.replica.reached(readIndex);
    const {session} = request;
    if (this.replica.state().sessions[session]?.phase !== 'open') {
      return {ok: false, code: 'session-closed'};
    }
    this.roster.post({type: 'merge', items: request.roster});
    await this.grantWholeLimits(session);
    const {slices} = this.replica.state();
    const now = performance.now();
    const held = await this.roster.ask<Roster>(
      reply => ({type: 'read', reply}),
      ASK_TIMEOUT_MS,
    );
    return {
      ok: true,
      readIndex,
      view: this.views.since(request.revision),
      slices: Object.fromEntries(
        Object.entries(slices).flatMap(([team, bySession]) => {
          const slice = bySession[session];
          return slice ? [[team, slice]] : [];
        }),
      ),
      targets: {},
      roster: rosterItems(held, now),
      rosterVersion: 0,
    };
  }

  /** Gives the first session each team's whole limit. */
  private async grantWholeLimits(session: string): Promise<void> {
    const {tables, slices} = this.replica.state();
    const missing = Object.values(tables.teams).filter(
      team => !slices[team.name]?.[session],
    );
    if (missing.length === 0) return;
    await this.propose({
      type: 'set-slices',
      slices: missing.map(team => ({
        team: team.name,
        session,
        basedOn: 0,
        amount: team.limit,
      })),
    });
  }

  override async claim(request: ClaimRequest): Promise<ClaimResponse> {
    const {session} = request;
    const claims = request.claims.map(claim => ({...claim, session}));
    const answer = await this.propose({type: 'claim', claims});
    const ids: string[] = JSON.parse((answer.ok && answer.detail) || '[]');
    const held = this.replica.state().claims;
    return {taken: ids.map(id => held[id]!)};
  }

  override async settle(request: SettleRequest): Promise<void> {
    const {session} = request;
    const claims = request.claims.map(claim => ({...claim, session}));
    await this.propose({type: 'settle', claims});
  }

  override async command(request: CommandRequest): Promise<Answer> {
    this.checkOperator(request.key);
    const {requestId, command} = request;
    return this.propose({type: 'command', requestId, command});
  }

  override async read(request: ReadRequest): Promise<ReadResponse> {
    this.checkOperator(request.key);
    const state = this.replica.state();
    const bodies: Record<ReadRequest['topic'], () => unknown> = {
      tables: () => state.tables,
      keys: () => Object.values(state.keys),
      hosts: () => Object.values(state.hosts),
      jobs: () => allJobs(state.jobs),
      waves: () => Object.values(state.waves),
      upstreams: () => [],
      limits: () => state.slices,
      status: () => this.replica.status(),
      report: () => ({}),
    };
    return {revision: state.revision, body: bodies[request.topic]()};
  }

  override async submit(request: SubmitRequest): Promise<Answer> {
    return this.propose({type: 'submit-jobs', ...request});
  }

  override async cancel(request: CancelRequest): Promise<Answer> {
    return this.propose({type: 'cancel-jobs', ...request});
  }

  override async jobs(request: JobsRequest): Promise<JobsResponse> {
    const all = allJobs(this.replica.state().jobs);
    return {jobs: all.filter(job => job.team === request.team)};
  }

  private checkOperator(key: string): void {
    const subject = verifyKey(key, this.replica.state().keys);
    if (subject?.kind === 'operator') return;
    throw new ServiceError('unauthorised', 'not the key of an operator');
  }

  private async propose(body: ChangeBody): Promise<Answer> {
    const {answer} = await this.replica.propose({atMs: Date.now(), body});
    return answer;
  }
}
