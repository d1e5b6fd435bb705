/** A fake control service for tests, which responds from its fields. */
import {
  claimId,
  createKey,
  poolSchema,
  routeSchema,
  teamSchema,
  type Key,
  type RosterItem,
  type Slice,
  type Subject,
  type View,
} from '@lentildrift/model';
import {
  ControlService,
  ServiceError,
  type CancelRequest,
  type ClaimRequest,
  type CommandResponse,
  type JobsRequest,
  type SettleRequest,
  type SubmitRequest,
  type SyncRequest,
  type SyncResponse,
  type CeilingTarget,
} from '@lentildrift/protocol';

type Route = Parameters<typeof routeSchema.parse>[0];
const OK = {ok: true, revision: 1, version: 1} as const;

export class FakeControl extends ControlService {
  revision = 1;
  readonly keys: Record<string, Key> = {};
  routes: View['routes'] = {};
  pools: View['pools'] = {};
  slices: Record<string, Slice> = {club: {amount: 100, generation: 1}};
  targets: Record<string, CeilingTarget> = {};
  useHeld = true;
  /** Whether requests fail as `unavailable`. */
  down = false;
  /** Every sync waits until this promise resolves. */
  gate: Promise<void> = Promise.resolve();
  sessions = 0;
  closed: string[] = [];
  syncs: SyncRequest[] = [];
  roster: RosterItem[] = [];
  claims = new Map<string, 'claimed' | 'ran'>();
  claimRequests = 0;
  submitted: (SubmitRequest | CancelRequest)[] = [];

  constructor(slots = 8) {
    super();
    this.pools['range'] = poolSchema.parse({
      name: 'range',
      kind: 'calls',
      hosts: ['h1', 'h2'],
      slotsPerHost: slots,
    });
  }

  /** Creates a key of the subject and returns its text. */
  addKey(subject: Subject): string {
    const {id, text, secretHash} = createKey();
    this.keys[id] = {id, subject, secretHash, givenAtMs: 0};
    return text;
  }

  addRoute(name: string, rest: object = {}): void {
    const row = {name, pool: 'range', service: 'lanes', ...rest};
    this.routes[name] = routeSchema.parse(row as Route);
  }

  private checkAvailable(): void {
    if (this.down) throw new ServiceError('unavailable', 'down');
  }

  override async openSession() {
    this.checkAvailable();
    return {session: `s${++this.sessions}`};
  }

  override async closeSession({session}: {session: string}) {
    this.closed.push(session);
  }

  override async sync(request: SyncRequest): Promise<SyncResponse> {
    this.syncs.push(request);
    await this.gate;
    this.checkAvailable();
    if (this.closed.includes(request.session)) {
      return {ok: false, code: 'session-closed'};
    }
    this.roster.push(...request.roster);
    const host = {pool: 'range', phase: 'serving' as const};
    const all = <T>(set: T) => ({set, removed: []});
    return {
      ok: true,
      readIndex: this.revision,
      view: {
        from: 0,
        to: this.revision,
        version: 1,
        routes: all(this.routes),
        pools: all(this.pools),
        teams: all({
          club: teamSchema.parse({name: 'club', share: 1, limit: 200}),
        }),
        keys: all(structuredClone(this.keys)),
        hosts: all({h1: host, h2: host}),
      },
      slices: this.slices,
      targets: this.targets,
      useHeld: this.useHeld,
      roster: [],
      rosterVersion: 0,
    };
  }

  override async claim({claims}: ClaimRequest) {
    this.claimRequests += 1;
    this.checkAvailable();
    const taken = claims.filter(each => this.claims.has(idOf(each)));
    for (const each of claims) {
      if (!taken.includes(each)) this.claims.set(idOf(each), 'claimed');
    }
    return {
      taken: taken.map(each => ({
        ...each,
        phase: this.claims.get(idOf(each))!,
      })),
    };
  }

  override async settle({claims}: SettleRequest) {
    for (const each of claims) {
      if (each.verdict === 'not-run') this.claims.delete(idOf(each));
      else this.claims.set(idOf(each), 'ran');
    }
  }

  override async submit(request: SubmitRequest): Promise<CommandResponse> {
    this.checkAvailable();
    this.submitted.push(request);
    return OK;
  }

  override async cancel(request: CancelRequest): Promise<CommandResponse> {
    this.submitted.push(request);
    return OK;
  }

  override async jobs(request: JobsRequest) {
    return request.team === 'club' ? {jobs: []} : Promise.reject(new Error());
  }

  override command(): never {
    throw new Error('not used by entry hosts');
  }

  override read(): never {
    throw new Error('not used by entry hosts');
  }
}

function idOf({team, key}: {team: string; key: string}): string {
  return claimId(team, key);
}
