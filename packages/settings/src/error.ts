/** The error and the exit code for wrong settings. */

/** A setting is wrong; the message is one line that names the setting. */
export class SettingsError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'SettingsError';
  }
}

/** Exit code of a process that is started with wrong settings. */
export const EXIT_USAGE_ERROR = 2;
