/** Errors of the command, and the exit codes that they lead to. */

export const EXIT_SUCCESS = 0;
/** Refused or failed; nothing was changed by this request. */
export const EXIT_FAILURE = 1;
export const EXIT_USAGE_ERROR = 2;
/** The request may have taken effect. */
export const EXIT_OUTCOME_UNKNOWN = 3;

/** The command ends with `message` on the error stream and `exitCode`. */
export class CommandError extends Error {
  constructor(
    message: string,
    readonly exitCode: number = EXIT_FAILURE,
  ) {
    super(message);
    this.name = 'CommandError';
  }
}

export class UsageError extends CommandError {
  constructor(message: string) {
    super(message, EXIT_USAGE_ERROR);
    this.name = 'UsageError';
  }
}

/** No answer arrived, although the request may have taken effect. */
export class OutcomeUnknownError extends CommandError {
  constructor(message: string) {
    super(message, EXIT_OUTCOME_UNKNOWN);
    this.name = 'OutcomeUnknown';
  }
}
