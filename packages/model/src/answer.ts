/** Answers to changes, and the record of those that operators got. */
import {z} from 'zod';

/** What a change led to; recorded and repeated to a resend. */
export const answerSchema = z.discriminatedUnion('ok', [
  z.object({
    ok: z.literal(true),
    revision: z.number().int(),
    /** Version of the tables after the change. */
    version: z.number().int(),
    detail: z.string().optional(),
  }),
  z.object({
    ok: z.literal(false),
    code: z.enum(['conflict', 'invalid', 'unknown', 'budget', 'limit']),
    message: z.string(),
    version: z.number().int(),
  }),
]);
export type Answer = z.infer<typeof answerSchema>;

/** Operators' answers kept: over three days at 2,500 changes a day. */
export const MAX_ANSWERS = 8192;

/**
 * A command copies one page instead of all answers; a lookup visits each of
 * the 65 pages at most.
 */
const ANSWERS_PER_PAGE = 128;
const PAGES_KEPT = MAX_ANSWERS / ANSWERS_PER_PAGE + 1;

/** Pages of answers by request ID, oldest page first. */
export const answersSchema = z.array(
  z.object({
    count: z.number().int().nonnegative(),
    byId: z.record(z.string(), answerSchema),
  }),
);
export type Answers = z.infer<typeof answersSchema>;

/** The first answer to a request; undefined if none is held. */
export function findAnswer(
  answers: Answers,
  requestId: string,
): Answer | undefined {
  const page = answers.find(({byId}) => Object.hasOwn(byId, requestId));
  return page?.byId[requestId];
}

/** Adds an answer; the oldest page goes once enough newer ones are full. */
export function addAnswer(
  answers: Answers,
  requestId: string,
  answer: Answer,
): Answers {
  const last = answers.at(-1);
  if (!last || last.count === ANSWERS_PER_PAGE) {
    const page = {count: 1, byId: {[requestId]: answer}};
    return [...answers, page].slice(-PAGES_KEPT);
  }
  const byId = {...last.byId, [requestId]: answer};
  return [...answers.slice(0, -1), {count: last.count + 1, byId}];
}
