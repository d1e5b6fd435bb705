/** Reads and commands sent to a control process, with checked answers. */
import {commandSchema, type Answer, type Command} from '@lentildrift/model';
import type {ReadTopic} from '@lentildrift/protocol';
import type {z} from 'zod';
import type {CommandContext} from './context.js';
import {CommandError, UsageError} from './error.js';

/**
 * Sends `command`. Throws `CommandError` if the command was not carried out,
 * and the subclass `UsageError` if the command is malformed.
 */
export async function sendCommand(
  context: CommandContext,
  command: Command,
): Promise<Extract<Answer, {ok: true}>> {
  const checked = commandSchema.safeParse(command);
  if (!checked.success) {
    const {path, message} = checked.error.issues[0]!;
    throw new UsageError(`${path.join('.')}: ${message}`);
  }
  const answer = await context
    .createControlClient()
    .command(context.requestId, checked.data);
  if (answer.ok) return answer;
  throw new CommandError(
    `refused (${answer.code}): ${answer.message}; tables are at version ${answer.version}`,
  );
}

/** Reads `topic`. Throws `CommandError` if the body does not match `schema`. */
export async function readTopic<S extends z.ZodType>(
  context: CommandContext,
  topic: ReadTopic,
  schema: S,
): Promise<z.output<S>> {
  const {body} = await context.createControlClient().read(topic);
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  const {path, message} = parsed.error.issues[0]!;
  throw new CommandError(
    `the server sent a malformed answer about ${topic}: ${path.join('.')}: ${message}`,
  );
}
