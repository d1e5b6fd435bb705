/**
 * The pipe of a call, with the filters identify, route, authorise, admit,
 * claim, select, forward and answer.
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
import {verifyBearer} from './bearer.js';
import {refuseLargeBody} from './body.js';
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
import {getDeclaredLength, findFramingError} from './header.js';
import {isGrant, type Grant} from './limiter.js';
import type {Claims} from './claims.js';
import type {EntryRules} from './rules.js';
import {isLease, type Lease, type UpstreamMessage} from './upstream.js';

export interface CallContext {
  readonly admission: Admission;
  readonly upstreams: Task<UpstreamMessage>;
  readonly view: Cell<View>;
  readonly directory: Cell<Directory>;
  readonly claims: Claims;
  readonly rules: EntryRules;
}

const CALL_PATH = /^\/call\/([^/?]+)(.*)$/;

/** Creates the pipe that processes every call. */
export function createCallPipe(
  context: CallContext,
): Pipe<Exchange, Forwarded> {
  const {claims} = context;
  const forwarding = {
    upstreams: context.upstreams,
    rules: context.rules,
    revalidate: (exchange: Selected) => revalidate(context, exchange),
    reselect: (exchange: Selected, tried: readonly string[]) =>
      acquireLease(context, exchange, tried),
  };
  return pipe(filter('identify', identify))
    .then(filter('route', route))
    .then(filter('authorise', authorise))
    .then(filter('admit', admit(context.admission)))
    .then(filter('claim', (exchange: Admitted) => claims.claim(exchange)))
    .then(filter('select', select(context)))
    .then(
      filter('forward', async (exchange: Selected) => {
        const step = await forward(forwarding, exchange);
        return step.ok ? step : settleAndRefuse(claims, exchange, step.refusal);
      }),
    )
    .then(
      filter('answer', (exchange: Forwarded) => {
        claims.settle(exchange, exchange);
        return pass(exchange);
      }),
    );
}

/** Settles the claim of a refused call with the verdict of the refusal. */
function settleAndRefuse(claims: Claims, exchange: Claimed, refusal: Refusal) {
  claims.settle(exchange, {verdict: refusal.verdict});
  return stopWith(refusal);
}

function identify(exchange: Exchange): StepResult<Identified> {
  const {request, view} = exchange;
  const framingError = findFramingError(request.rawHeaders);
  if (framingError) return stopWith(refuse('malformed', framingError));
  const subject = verifyBearer(request.headers.authorization, view);
  if (subject === false || (subject && subject.kind !== 'team')) {
    return stopWith(refuse('unauthorised', 'the key is not valid for calls'));
  }
  return pass(extend(exchange, {callerTeam: subject?.team}));
}

function route(exchange: Identified): StepResult<Routed> {
  const match = CALL_PATH.exec(exchange.request.url ?? '');
  const name = match?.[1] ?? '';
  const {routes} = exchange.view;
  const routeConfig = Object.hasOwn(routes, name) ? routes[name] : undefined;
  if (!routeConfig)
    return stopWith(refuse('unknown-route', `no route "${name}"`));
  exchange.facts.route = name;
  if ((getDeclaredLength(exchange.request) ?? 0) > routeConfig.maxBodyBytes) {
    return stopWith(refuseLargeBody(routeConfig.maxBodyBytes));
  }
  const rest = match![2]!;
  const path = rest.startsWith('/') ? rest : `/${rest}`;
  return pass(extend(exchange, {route: routeConfig, path}));
}

function authorise(exchange: Routed): StepResult<Authorised> {
  const {route: routeConfig, callerTeam, view} = exchange;
  const name =
    callerTeam ?? (routeConfig.open ? routeConfig.chargeTo : undefined);
  const team = name === undefined ? undefined : view.teams[name];
  if (!team) return stopWith(refuse('unauthorised', 'the route needs a key'));
  exchange.facts.team = team.name;
  if (
    routeConfig.teams &&
    !routeConfig.open &&
    !routeConfig.teams.includes(team.name)
  ) {
    return stopWith(
      refuse(
        'forbidden',
        `team "${team.name}" may not call "${routeConfig.name}"`,
      ),
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
    // Repeated calls of `release` must not release the slot again.
    let isHeld = true;
    const release = () => {
      if (isHeld) task.post({type: 'release', grant: result});
      isHeld = false;
    };
    return pass(extend(exchange, {release}));
  };
}

function select(context: CallContext) {
  return async (exchange: Claimed): Promise<StepResult<Selected>> => {
    const lease = await acquireLease(context, exchange, []);
    if (isLease(lease)) return pass(extend(exchange, {lease}));
    exchange.release();
    return settleAndRefuse(context.claims, exchange, lease);
  };
}

function acquireLease(
  context: CallContext,
  exchange: Claimed,
  tried: readonly string[],
): Promise<Lease | Refusal> {
  const {route: routeConfig, view} = exchange;
  const now = performance.now();
  const key = directoryKey(routeConfig.pool, routeConfig.service);
  const candidates = (context.directory.value.get(key) ?? []).filter(
    ({receivedMs, announcement}) => now < receivedMs + announcement.leaseMs,
  );
  const pool = view.pools[routeConfig.pool]!;
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
 * Checks the freshness lease and the key again immediately before a call is
 * sent. A call that waited for a connection must not be sent under a lease
 * that has expired or a key that was withdrawn in the meantime.
 */
function revalidate(
  context: CallContext,
  exchange: Selected,
): Refusal | undefined {
  if (!context.rules.revalidatesBeforeSending()) return undefined;
  if (performance.now() >= context.admission.freshUntilMs.value) {
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
