/**
 * Timeouts that wait for input of other processes.
 *
 * After a turn that took long, such as one in which the process was frozen,
 * Node runs the expired timers before it reads its sockets. A timeout that is
 * judged by its timer alone then takes the stall of this process for the
 * silence of the others.
 */

/**
 * Turns of the event loop after which input has been read from its socket, and
 * has passed through the task that owns the socket to the task that waits for
 * it. Each task takes one turn.
 */
const INPUT_TURNS = 3;

export interface InputTimeout {
  cancel(): void;
}

/** Calls `callback` once the input that has arrived by now is handled. */
export function afterInput(callback: () => void): InputTimeout {
  let turnsLeft = INPUT_TURNS;
  let immediate = setImmediate(function endTurn() {
    if (--turnsLeft > 0) immediate = setImmediate(endTurn);
    else callback();
  });
  return {cancel: () => clearImmediate(immediate)};
}

/**
 * Calls `callback` after `delayMs`, once the input that has arrived by then is
 * handled, so that this input can still cancel the timeout.
 */
export function startInputTimeout(
  callback: () => void,
  delayMs: number,
): InputTimeout {
  let waiting: InputTimeout | undefined;
  const timer = setTimeout(() => (waiting = afterInput(callback)), delayMs);
  return {
    cancel() {
      clearTimeout(timer);
      waiting?.cancel();
    },
  };
}
