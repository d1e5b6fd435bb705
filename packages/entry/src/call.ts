/**
 * The path of a call: identify, route, authorise, admit, claim, select,
 * forward, answer.
 */
import {refuse, type Refusal, type View} from '@lentildrift/model';
import {
  filter,
  pass,
  pipe,
  stopWith,
  type Pipe,
  type StepResult,
} from '@lentildrift/pipe';
import type {Task} from '@lentildrift/task';
import type {Admission} from './admission.js';
import {bearerSubject} from './bearer.js';
import {refuseBody} from './body.js';
import type {Cell} from './cell.js';
import {directoryKey, type Directory} from './directory.js';
import {
  extend,
  type Admitted,
  type Authorised,
  type Claimed,
  type Exchange,
  type Forwarded,
  type Identified,
  type Routed,
  type Selected,
} from './exchange.js';
import {forward} from './forward.js';
import {declaredLength, framingProblem} from './header.js';
import {isGrant, type Grant} from './ledger.js';
import type {Once} from './once.js';
import type {EntryRules} from './rules.js';
import {isLease, type Lease, type UpstreamMessage} from './upstream.js';

export interface CallContext {
  readonly admission: Admission;
  readonly upstreams: Task<UpstreamMessage>;
  readonly view: Cell<View>;
  readonly directory: Cell<Directory>;
  readonly once: Once;
  readonly rules: EntryRules;
}

const CALL_PATH = /^\/call\/([^/?]+)(.*)$/;

/** The pipe that every call goes through. */
export function callPipe(context: CallContext): Pipe<Exchange, Forwarded> {
  const {once} = context;
  const forwarding = {
    upstreams: context.upstreams,
    rules: context.rules,
    recheck: (exchange: Selected) => recheck(context, exchange),
    reselect: (exchange: Selected, tried: readonly string[]) =>
      acquire(context, exchange, tried),
  };
  return pipe(filter('identify', identify))
    .then(filter('route', route))
    .then(filter('authorise', authorise))
    .then(filter('admit', admit(context.admission)))
    .then(filter('claim', (exchange: Admitted) => once.claim(exchange)))
    .then(filter('select', select(context)))
    .then(
      filter('forward', async (exchange: Selected) => {
        const step = await forward(forwarding, exchange);
        return step.ok ? step : settled(once, exchange, step.refusal);
      }),
    )
    .then(
      filter('answer', (exchange: Forwarded) => {
        once.settle(exchange, exchange);
        return pass(exchange);
      }),
    );
}

/** Records what is known of a call that ends with a refusal. */
function settled(once: Once, exchange: Claimed, refusal: Refusal) {
  once.settle(exchange, {verdict: refusal.verdict});
  return stopWith(refusal);
}

function identify(exchange: Exchange): StepResult<Identified> {
  const {request, view} = exchange;
  const problem = framingProblem(request.rawHeaders);
  if (problem) return stopWith(refuse('malformed', problem));
  const subject = bearerSubject(request.headers.authorization, view);
  if (subject === false || (subject && subject.kind !== 'team')) {
    return stopWith(refuse('unauthorised', 'the key is not valid for calls'));
  }
  return pass(extend(exchange, {callerTeam: subject?.team}));
}

function route(exchange: Identified): StepResult<Routed> {
  const match = CALL_PATH.exec(exchange.request.url ?? '');
  const name = match?.[1] ?? '';
  const {routes} = exchange.view;
  const found = Object.hasOwn(routes, name) ? routes[name] : undefined;
  if (!found) return stopWith(refuse('unknown-route', `no route "${name}"`));
  exchange.facts.route = name;
  if ((declaredLength(exchange.request) ?? 0) > found.maxBodyBytes) {
    return stopWith(refuseBody(found.maxBodyBytes));
  }
  const rest = match![2]!;
  const path = rest.startsWith('/') ? rest : `/${rest}`;
  return pass(extend(exchange, {route: found, path}));
}

function authorise(exchange: Routed): StepResult<Authorised> {
  const {route: row, callerTeam, view} = exchange;
  const name = callerTeam ?? (row.open ? row.chargeTo : undefined);
  const team = name === undefined ? undefined : view.teams[name];
  if (!team) return stopWith(refuse('unauthorised', 'the route needs a key'));
  exchange.facts.team = team.name;
  if (row.teams && !row.open && !row.teams.includes(team.name)) {
    return stopWith(
      refuse('forbidden', `team "${team.name}" may not call "${row.name}"`),
    );
  }
  return pass(extend(exchange, {team}));
}

function admit({task}: Admission) {
  return async (exchange: Authorised): Promise<StepResult<Admitted>> => {
    const {name: team, limit} = exchange.team;
    const result = await new Promise<Grant | Refusal>(answer => {
      const posted = task.post({type: 'admit', team, limit, answer});
      if (!posted) answer(refuse('stopping', 'this entry host is stopping'));
    });
    if (!isGrant(result)) return stopWith(result);
    let held = true;
    const release = () => {
      if (held) task.post({type: 'release', grant: result});
      held = false;
    };
    return pass(extend(exchange, {release}));
  };
}

function select(context: CallContext) {
  return async (exchange: Claimed): Promise<StepResult<Selected>> => {
    const lease = await acquire(context, exchange, []);
    if (isLease(lease)) return pass(extend(exchange, {lease}));
    exchange.release();
    return settled(context.once, exchange, lease);
  };
}

function acquire(
  context: CallContext,
  exchange: Claimed,
  tried: readonly string[],
): Promise<Lease | Refusal> {
  const {route: row, view} = exchange;
  const now = performance.now();
  const key = directoryKey(row.pool, row.service);
  const candidates = (context.directory.value.get(key) ?? []).filter(
    ({receivedMs, announcement}) => now < receivedMs + announcement.leaseMs,
  );
  const pool = view.pools[row.pool]!;
  return new Promise(answer => {
    const posted = context.upstreams.post({
      type: 'acquire',
      candidates,
      pool,
      tried,
      answer,
    });
    if (!posted) answer(refuse('stopping', 'this entry host is stopping'));
  });
}

/**
 * Checks again what may have changed since the call was admitted: a call that
 * waited for a connection must not be sent under an expired lease or a key
 * that was withdrawn in the meantime.
 */
function recheck(
  context: CallContext,
  exchange: Selected,
): Refusal | undefined {
  if (!context.rules.checksAgain()) return undefined;
  if (performance.now() >= context.admission.lease.value) {
    return refuse('stale', 'this entry host has no current configuration');
  }
  const view = context.view.value;
  if (view === exchange.view) return undefined;
  const steps = [identify, route, authorise];
  let input: Exchange = {...exchange, view};
  for (const step of steps) {
    const result = step(input as never) as StepResult<Exchange>;
    if (!result.ok) return result.refusal;
    input = result.value;
  }
  return undefined;
}
