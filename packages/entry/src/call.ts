/** The path of a call: identify, route, authorise, admit, select, forward. */
import {
  isLive,
  refuse,
  verifyKey,
  type Refusal,
  type Roster,
  type RosterRecord,
  type Subject,
  type View,
} from '@lentildrift/model';
import {filter, pass, pipe, stop, type Pipe} from '@lentildrift/pipe';
import type {Task} from '@lentildrift/task';
import type {AdmissionMessage} from './admission.js';
import type {
  Admitted,
  Authorised,
  Exchange,
  Identified,
  Routed,
  Selected,
} from './exchange.js';
import type {Forwarder} from './forward.js';

export interface CallContext {
  readonly admission: Task<AdmissionMessage>;
  readonly forwarder: Forwarder;
  roster(): Roster;
}

const CALL_PATH = /^\/call\/([^/?]+)(.*)$/;

/** The pipe that every call goes through. */
export function callPipe(context: CallContext): Pipe<Exchange, void> {
  return pipe(filter('identify', identify))
    .then(filter('route', route))
    .then(filter('authorise', authorise))
    .then(filter('admit', admit(context.admission)))
    .then(filter('select', select(context)))
    .then(filter('forward', context.forwarder.forward));
}

/** The subject of the request's key; `false` if a key was shown in vain. */
export function bearerSubject(
  header: string | undefined,
  view: View,
): Subject | undefined | false {
  if (header === undefined) return undefined;
  const text = /^Bearer (\S+)$/.exec(header)?.[1];
  return (text && verifyKey(text, view.keys)) || false;
}

function identify(exchange: Exchange) {
  const {request, view} = exchange;
  const subject = bearerSubject(request.headers.authorization, view);
  if (subject === false || (subject && subject.kind !== 'team')) {
    return stop(refuse('unauthorised', 'the key is not valid for calls'));
  }
  return pass<Identified>({...exchange, callerTeam: subject?.team});
}

function route(exchange: Identified) {
  const match = CALL_PATH.exec(exchange.request.url ?? '');
  const name = match?.[1] ?? '';
  const {routes} = exchange.view;
  const found = Object.hasOwn(routes, name) ? routes[name] : undefined;
  if (!found) return stop(refuse('unknown-route', `no route "${name}"`));
  const rest = match![2]!;
  const path = rest.startsWith('/') ? rest : `/${rest}`;
  return pass<Routed>({...exchange, route: found, path});
}

function authorise(exchange: Routed) {
  const {route: row, callerTeam, view} = exchange;
  const name = callerTeam ?? (row.open ? row.chargeTo : undefined);
  const team = name === undefined ? undefined : view.teams[name];
  if (!team) return stop(refuse('unauthorised', 'the route needs a key'));
  if (row.teams && !row.open && !row.teams.includes(team.name)) {
    return stop(
      refuse('forbidden', `team "${team.name}" may not call "${row.name}"`),
    );
  }
  return pass<Authorised>({...exchange, team});
}

function admit(admission: Task<AdmissionMessage>) {
  return async (exchange: Authorised) => {
    const team = exchange.team.name;
    const refusal = await new Promise<Refusal | undefined>(answer => {
      const posted = admission.post({type: 'admit', team, answer});
      if (!posted) answer(refuse('stopping', 'this entry host is stopping'));
    });
    if (refusal) return stop(refusal);
    let held = true;
    const release = () => {
      if (held) admission.post({type: 'release', team});
      held = false;
    };
    return pass<Admitted>({...exchange, release});
  };
}

function select(context: CallContext) {
  return (exchange: Admitted) => {
    const candidates = serving(exchange, context.roster());
    if (candidates.length === 0) {
      exchange.release();
      const {pool} = exchange.route;
      return stop(
        refuse('no-upstream', `pool "${pool}" has no upstream in service`, {
          retryAfterMs: 1000,
        }),
      );
    }
    const index = Math.floor(Math.random() * candidates.length);
    return pass<Selected>({...exchange, upstream: candidates[index]!});
  };
}

function serving(exchange: Admitted, roster: Roster): RosterRecord[] {
  const now = performance.now();
  const {route: row, view} = exchange;
  return [...roster.values()].filter(record => {
    const {pool, service, host} = record.announcement;
    if (pool !== row.pool || service !== row.service) return false;
    const held = view.hosts[host];
    const inService = held?.pool === pool && held.phase === 'serving';
    return inService && isLive(record, now);
  });
}
