/** Answers to changes, and the stored answers to operators' commands. */
import {z} from 'zod';

/**
 * Outcome of a change. Answers to operators' commands are stored and repeated
 * when a command is resent.
 */
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

/**
 * Number of the newest answers to operators' commands that are always stored:
 * enough for more than three days at 2,500 changes a day.
 */
export const RETAINED_ANSWERS = 8192;

/**
 * Answers are stored in pages, so that a command copies one page instead of
 * all answers. A lookup visits at most 65 pages.
 */
const ANSWERS_PER_PAGE = 128;
const MAX_PAGES = RETAINED_ANSWERS / ANSWERS_PER_PAGE + 1;

/** Pages of answers, the oldest page first. */
export const answersSchema = z.array(
  z.object({
    /** Number of answers in the page. */
    count: z.number().int().nonnegative(),
    /** Answers by request ID. */
    byId: z.record(z.string(), answerSchema),
  }),
);
export type Answers = z.infer<typeof answersSchema>;

/** Returns the stored answer to a request, or undefined if none is stored. */
export function findAnswer(
  answers: Answers,
  requestId: string,
): Answer | undefined {
  const page = answers.find(({byId}) => Object.hasOwn(byId, requestId));
  return page?.byId[requestId];
}

/** Adds an answer, and drops the oldest page once all pages are full. */
export function addAnswer(
  answers: Answers,
  requestId: string,
  answer: Answer,
): Answers {
  const last = answers.at(-1);
  if (!last || last.count === ANSWERS_PER_PAGE) {
    const page = {count: 1, byId: {[requestId]: answer}};
    return [...answers, page].slice(-MAX_PAGES);
  }
  const byId = {...last.byId, [requestId]: answer};
  return [...answers.slice(0, -1), {count: last.count + 1, byId}];
}
