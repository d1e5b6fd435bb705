/**
 * Schemas of changes, which are the only way to modify the replicated state.
 */
import {z} from 'zod';
import {hostPhaseSchema} from './host.js';
import {jobSpecSchema} from './job.js';
import {subjectSchema} from './key.js';
import {nameSchema, tableEditSchema} from './table.js';

const requestId = z.string().min(1).max(100);

/** Commands of operators. Each is applied once, and its answer is stored. */
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
    /** Hosts to maintain; if absent, all whose maintenance is due. */
    hosts: z.array(nameSchema).optional(),
    /** Wall-clock time, in milliseconds, by which the wave should be done. */
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

/** A host as the platform reports it. */
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

/** A transition of a job's current attempt. */
export const jobStepSchema = z.object({
  job: z.string(),
  /** Fencing token of the attempt; a step with a stale token is ignored. */
  token: z.number().int(),
  to: z.enum(['running', 'done', 'failed', 'lost', 'checkpointed', 'stopped']),
  reason: z.string().optional(),
});
export type JobStep = z.infer<typeof jobStepSchema>;

/** Request to take a host out of service. */
export const permitRequestSchema = z.object({
  host: z.string(),
  kind: z.enum(['drain', 'move', 'reboot']),
  /** Pool that a move leads to. */
  targetPool: z.string().optional(),
  /** Maintenance wave that a reboot is part of. */
  wave: z.string().optional(),
});
export type PermitRequest = z.infer<typeof permitRequestSchema>;

export const changeBodySchema = z.discriminatedUnion('type', [
  /** First change of each leader's term; it does not modify the state. */
  z.object({type: z.literal('noop')}),
  /** Issues the planner of a new leader a token higher than all others. */
  z.object({type: z.literal('start-planner')}),
  z.object({type: z.literal('command'), requestId, command: commandSchema}),
  z.object({
    type: z.literal('open-session'),
    session: z.string(),
    entryHost: z.string(),
  }),
  /**
   * Closes a session. Its entry host may begin no admission after the session's
   * lease has ended.
   */
  z.object({type: z.literal('close-session'), session: z.string()}),
  /**
   * Removes a closed session whose work has all ended, and frees its slices.
   */
  z.object({type: z.literal('end-session'), session: z.string()}),
  z.object({
    type: z.literal('set-slices'),
    slices: z.array(
      z.object({
        team: z.string(),
        session: z.string(),
        /** Generation of the slice when it was read; 0 for a new slice. */
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
        attempt: z.string(),
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
        attempt: z.string(),
        /** `not-run` removes the claim, so that the caller may resend. */
        verdict: z.enum(['not-run', 'ran']),
        /** HTTP status of the answer. */
        status: z.number().int().optional(),
      }),
    ),
  }),
  z.object({
    type: z.literal('observe-hosts'),
    hosts: z.array(observedHostSchema),
  }),
  z.object({type: z.literal('grant-permit'), ...permitRequestSchema.shape}),
  /** Grants several permits; those that a budget forbids are skipped. */
  z.object({
    type: z.literal('grant-permits'),
    grants: z.array(permitRequestSchema),
  }),
  /**
   * Moves a host to its next phase under its permit; a stale token is refused.
   */
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
  /** Wall-clock time of the leader at the proposal, in milliseconds. */
  atMs: z.number(),
  body: changeBodySchema,
});
export type Change = z.infer<typeof changeSchema>;

/** Change body of the type `T`. */
export type BodyOf<T extends ChangeBody['type']> = Extract<
  ChangeBody,
  {type: T}
>;
/** Operator's command of the type `T`. */
export type CommandOf<T extends Command['type']> = Extract<Command, {type: T}>;
