/** Described changes: the only way from one state to the next. */
import {z} from 'zod';
import {hostPhaseSchema} from './host.js';
import {jobSpecSchema} from './job.js';
import {subjectSchema} from './key.js';
import {nameSchema, tableEditSchema} from './table.js';

const requestId = z.string().min(1).max(100);

/** Commands of operators; each is answered once and its answer recorded. */
export const commandSchema = z.discriminatedUnion('type', [
  z.object({type: z.literal('edit'), edit: tableEditSchema}),
  z.object({
    type: z.literal('give-key'),
    keyId: z.string().regex(/^[0-9a-f]{12}$/),
    subject: subjectSchema,
    secretHash: z.string().regex(/^[0-9a-f]{64}$/),
  }),
  z.object({type: z.literal('withdraw-key'), keyId: z.string()}),
  z.object({type: z.literal('drain'), host: nameSchema}),
  z.object({type: z.literal('undrain'), host: nameSchema}),
  z.object({type: z.literal('retire'), host: nameSchema}),
  z.object({
    type: z.literal('open-wave'),
    wave: nameSchema,
    /** Absent means every host whose maintenance is due. */
    hosts: z.array(nameSchema).optional(),
    deadlineMs: z.number(),
  }),
  z.object({
    type: z.literal('set-wave'),
    wave: nameSchema,
    phase: z.enum(['open', 'paused', 'withdrawn']),
  }),
  z.object({type: z.literal('release-worker'), host: nameSchema}),
]);
export type Command = z.infer<typeof commandSchema>;

export const observedHostSchema = z.object({
  id: nameSchema,
  dataCentre: z.string(),
  rack: z.string(),
  cores: z.number(),
  memoryMiB: z.number(),
  accelerators: z.number(),
  healthy: z.boolean(),
});
export type ObservedHost = z.infer<typeof observedHostSchema>;

/** One way in which a job's attempt moves on. */
export const jobStepSchema = z.object({
  job: z.string(),
  /** Token of the attempt that the step is about; a stale one is ignored. */
  token: z.number().int(),
  to: z.enum(['running', 'done', 'failed', 'lost', 'checkpointed', 'stopped']),
  reason: z.string().optional(),
});
export type JobStep = z.infer<typeof jobStepSchema>;

export const changeBodySchema = z.discriminatedUnion('type', [
  /** The first change of a leader's term; changes nothing. */
  z.object({type: z.literal('noop')}),
  z.object({type: z.literal('command'), requestId, command: commandSchema}),
  z.object({
    type: z.literal('open-session'),
    session: z.string(),
    entryHost: z.string(),
  }),
  /** No admission under the session's lease may begin after the lease ends. */
  z.object({type: z.literal('close-session'), session: z.string()}),
  /** All work of a closed session has ended: its slices are free again. */
  z.object({type: z.literal('end-session'), session: z.string()}),
  z.object({
    type: z.literal('set-slices'),
    slices: z.array(
      z.object({
        team: z.string(),
        session: z.string(),
        /** Generation that the decision was based on; 0 for a new slice. */
        basedOn: z.number().int().nonnegative(),
        amount: z.number().int().nonnegative(),
      }),
    ),
  }),
  z.object({
    type: z.literal('claim'),
    claims: z.array(
      z.object({
        team: z.string(),
        key: z.string(),
        session: z.string(),
        attempt: z.number().int().optional(),
      }),
    ),
  }),
  z.object({
    type: z.literal('settle'),
    claims: z.array(
      z.object({
        team: z.string(),
        key: z.string(),
        session: z.string(),
        /** The claim that is settled; an earlier one of the session stays. */
        attempt: z.number().int().optional(),
        /** `not-run` removes the claim, so that the caller may resend. */
        verdict: z.enum(['not-run', 'ran']),
        status: z.number().int().optional(),
      }),
    ),
  }),
  z.object({
    type: z.literal('observe-hosts'),
    hosts: z.array(observedHostSchema),
  }),
  z.object({
    type: z.literal('grant-permit'),
    host: z.string(),
    kind: z.enum(['drain', 'move', 'reboot']),
    targetPool: z.string().optional(),
    wave: z.string().optional(),
  }),
  /** A step of a host under its permit; a stale token is refused. */
  z.object({
    type: z.literal('step-host'),
    host: z.string(),
    token: z.number().int(),
    to: hostPhaseSchema,
  }),
  z.object({
    type: z.literal('submit-jobs'),
    team: z.string(),
    jobs: z.array(jobSpecSchema),
  }),
  z.object({
    type: z.literal('cancel-jobs'),
    team: z.string(),
    jobs: z.array(z.string()),
  }),
  z.object({
    type: z.literal('place-jobs'),
    placements: z.array(z.object({job: z.string(), host: z.string()})),
  }),
  z.object({type: z.literal('step-jobs'), steps: z.array(jobStepSchema)}),
  z.object({
    type: z.literal('park-jobs'),
    jobs: z.array(z.object({job: z.string(), reason: z.string()})),
  }),
  z.object({
    type: z.literal('quarantine'),
    host: z.string(),
    reason: z.string(),
  }),
]);
export type ChangeBody = z.infer<typeof changeBodySchema>;

export const changeSchema = z.object({
  /** Leader's wall time at the proposal. */
  atMs: z.number(),
  body: changeBodySchema,
});
export type Change = z.infer<typeof changeSchema>;

/** The body of one type. */
export type BodyOf<T extends ChangeBody['type']> = Extract<
  ChangeBody,
  {type: T}
>;
/** The command of one type. */
export type CommandOf<T extends Command['type']> = Extract<Command, {type: T}>;
