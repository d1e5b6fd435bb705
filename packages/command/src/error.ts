/** Errors of the command and their exit codes. */

export const EXIT_SUCCESS = 0;
/** The request was refused or failed, and changed nothing. */
export const EXIT_FAILURE = 1;
export const EXIT_USAGE_ERROR = 2;
/** The request may have taken effect. */
export const EXIT_OUTCOME_UNKNOWN = 3;

/** Ends the command with `message` on standard error and with `exitCode`. */
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
    this.name = 'OutcomeUnknownError';
  }
}
