/**
 * Calls to workers as they are sent between control processes. Rows instead of
 * objects keep the messages short, since a leader sends thousands of them a
 * second.
 */
import {EndKind} from '@lentildrift/queue';
import {z} from 'zod';
import type {
  HoldOrder,
  OrderAnswer,
  Report,
  RunOrder,
  StartOrder,
  Target,
} from './driver.js';

/** ID and address of the worker, and the number of its incarnation. */
const WorkerRow = z.tuple([z.string(), z.string(), z.number()]);

/** Monotonic time of the sender, in whole milliseconds. */
const SentTime = z.number();

/** Token, cursor, end of the lease (null: none is granted), wait. */
const HoldCall = z.object({
  type: z.literal('hold'),
  worker: WorkerRow,
  sentMs: SentTime,
  order: z.tuple([z.number(), z.number(), z.number().nullable(), z.number()]),
});

/** Token, task, run, payload, end of the lease, checkpoint, ticket or null. */
const StartCall = z.object({
  type: z.literal('start'),
  worker: WorkerRow,
  sentMs: SentTime,
  order: z.tuple([
    z.number(),
    z.string(),
    z.number(),
    z.string(),
    z.number(),
    z.string(),
    z.string().nullable(),
  ]),
});

/** Token, task, run. */
const StopCall = z.object({
  type: z.literal('stop'),
  worker: WorkerRow,
  sentMs: SentTime,
  order: z.tuple([z.number(), z.string(), z.number()]),
});

/** Token, task, run, percent. */
const PaceCall = z.object({
  type: z.literal('pace'),
  worker: WorkerRow,
  sentMs: SentTime,
  order: z.tuple([z.number(), z.string(), z.number(), z.number()]),
});

/** A call that the receiver makes to a worker. An order begins with its token. */
export const WorkerCall = z.discriminatedUnion('type', [
  HoldCall,
  StartCall,
  StopCall,
  PaceCall,
]);
export type WorkerCall = z.infer<typeof WorkerCall>;

/** Task, run, checkpoint, percent, measure. */
const RunningTuple = z.tuple([
  z.string(),
  z.number(),
  z.string(),
  z.number(),
  z.number(),
]);
/** Number of the end, task, run, kind of end, checkpoint. */
const EndedTuple = z.tuple([
  z.number(),
  z.string(),
  z.number(),
  EndKind,
  z.string(),
]);

/** `failed`: the call got no answer, so its outcome is unknown. */
export const WorkerReply = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('report'),
    bornMs: z.number(),
    clockMs: z.number(),
    running: z.array(RunningTuple),
    ended: z.array(EndedTuple),
    isComplete: z.boolean().default(false),
  }),
  z.object({
    type: z.literal('answer'),
    answer: z.enum([
      'ok',
      'fenced',
      'superseded',
      'late',
      'no-room',
      'ticket',
      'unhealthy',
      'wrong-worker',
      'invalid',
    ]),
    /** See `OrderAnswer`. */
    clockMs: z.number().optional(),
  }),
  z.object({type: z.literal('failed'), reason: z.string()}),
  /** The worker was not called; another process may call it. */
  z.object({type: z.literal('not-sent'), reason: z.string()}),
]);
export type WorkerReply = z.infer<typeof WorkerReply>;

type Worker = z.infer<typeof WorkerRow>;
type HoldCall = z.infer<typeof HoldCall>;
type StartCall = z.infer<typeof StartCall>;
type StopCall = z.infer<typeof StopCall>;
type PaceCall = z.infer<typeof PaceCall>;

function toWorker({id, address, incarnation}: Target): Worker {
  return [id, address, incarnation];
}

export function targetOf({worker}: WorkerCall): Target {
  const [id, address, incarnation] = worker;
  return {id, address, incarnation};
}

export function encodeHold(target: Target, order: HoldOrder): WorkerCall {
  const {token, cursor, leaseUntilMs, waitMs} = order;
  return {
    type: 'hold',
    worker: toWorker(target),
    sentMs: Math.round(performance.now()),
    order: [token, cursor, leaseUntilMs ?? null, waitMs],
  };
}

export function decodeHold({order}: HoldCall): HoldOrder {
  const [token, cursor, leaseUntilMs, waitMs] = order;
  return {
    token,
    cursor,
    waitMs,
    ...(leaseUntilMs !== null && {leaseUntilMs}),
  };
}

export function encodeStart(target: Target, order: StartOrder): WorkerCall {
  const {token, task, run, payload, leaseUntilMs, checkpoint, ticket} = order;
  return {
    type: 'start',
    worker: toWorker(target),
    sentMs: Math.round(performance.now()),
    order: [
      token,
      task,
      run,
      payload,
      leaseUntilMs,
      checkpoint,
      ticket ?? null,
    ],
  };
}

export function decodeStart({order}: StartCall): StartOrder {
  const [token, task, run, payload, leaseUntilMs, checkpoint, ticket] = order;
  return {
    token,
    task,
    run,
    payload,
    leaseUntilMs,
    checkpoint,
    ...(ticket !== null && {ticket}),
  };
}

export function encodeStop(target: Target, order: RunOrder): WorkerCall {
  const {token, task, run} = order;
  return {
    type: 'stop',
    worker: toWorker(target),
    sentMs: Math.round(performance.now()),
    order: [token, task, run],
  };
}

export function decodeStop({order: [token, task, run]}: StopCall): RunOrder {
  return {token, task, run};
}

export function encodePace(
  target: Target,
  order: RunOrder & {percent: number},
): WorkerCall {
  const {token, task, run, percent} = order;
  return {
    type: 'pace',
    worker: toWorker(target),
    sentMs: Math.round(performance.now()),
    order: [token, task, run, percent],
  };
}

export function decodePace({
  order: [token, task, run, percent],
}: PaceCall): RunOrder & {percent: number} {
  return {token, task, run, percent};
}

export function encodeReport(report: Report): WorkerReply {
  return {
    type: 'report',
    bornMs: report.bornMs,
    clockMs: report.clockMs,
    running: report.running.map(row => [
      row.task,
      row.run,
      row.checkpoint,
      row.percent,
      row.measure,
    ]),
    ended: report.ended.map(row => [
      row.number,
      row.task,
      row.run,
      row.how,
      row.checkpoint,
    ]),
    isComplete: report.isComplete,
  };
}

export function decodeReport(
  reply: Extract<WorkerReply, {type: 'report'}>,
): Report {
  return {
    bornMs: reply.bornMs,
    clockMs: reply.clockMs,
    running: reply.running.map(([task, run, checkpoint, percent, measure]) => ({
      task,
      run,
      checkpoint,
      percent,
      measure,
    })),
    ended: reply.ended.map(([number, task, run, how, checkpoint]) => ({
      number,
      task,
      run,
      how,
      checkpoint,
    })),
    isComplete: reply.isComplete,
  };
}

export function encodeAnswer(answer: OrderAnswer): WorkerReply {
  if (!answer.ok) return {type: 'answer', answer: answer.reason};
  const {clockMs} = answer;
  return {
    type: 'answer',
    answer: 'ok',
    ...(clockMs !== undefined && {clockMs}),
  };
}

export function decodeAnswer({
  answer,
  clockMs,
}: Extract<WorkerReply, {type: 'answer'}>): OrderAnswer {
  if (answer !== 'ok') return {ok: false, reason: answer};
  return {ok: true, ...(clockMs !== undefined && {clockMs})};
}
