/**
 * Messages that a task sends to itself when something is due.
 *
 * A message in a mailbox cannot be withdrawn. If a task that is overloaded sent
 * itself another one each time the same work becomes due, it would do this work
 * more often the longer its mailbox is, and stay overloaded.
 */
export interface Reminder {
  /**
   * Has the message sent after `delayMs`, or at once if that is 0. Replaces an
   * earlier time; has no effect while the message is in the mailbox.
   */
  schedule(delayMs: number): void;
  /** Whether the message is in the mailbox or will be sent later. */
  isPending(): boolean;
  /** Notes that the message is being handled. */
  settle(): void;
  /** Withdraws the message unless it has been sent. */
  cancel(): void;
}

/** `send` puts the message into the mailbox of the task. */
export function createReminder(send: () => void): Reminder {
  let timer: NodeJS.Timeout | undefined;
  let isSent = false;

  function cancel(): void {
    clearTimeout(timer);
    timer = undefined;
  }

  function fire(): void {
    timer = undefined;
    isSent = true;
    send();
  }

  return {
    schedule(delayMs) {
      if (isSent) return;
      cancel();
      if (delayMs <= 0) fire();
      else timer = setTimeout(fire, delayMs);
    },
    isPending: () => isSent || timer !== undefined,
    settle() {
      isSent = false;
    },
    cancel,
  };
}
