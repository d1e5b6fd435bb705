/** Simulated operators, which try the control processes in turn. */
import type {Answer, Command} from '@lentildrift/model';
import type {ControlService} from '@lentildrift/protocol';
import type {History} from '../history.js';
import {runOutsideProcess} from './process.js';

const RETRY_MS = 500;

export interface Operators {
  /**
   * Sends a command until it is answered, first to the service with the index
   * `first`, then to the following ones.
   */
  send(requestId: string, command: Command, first?: number): Promise<Answer>;
  /** Sends an earlier command again with the same request ID. */
  resend(requestId: string): void;
  /** The latest answer to a request, if any. */
  answer(requestId: string): Answer | undefined;
}

export function createOperators(
  history: History,
  key: string,
  services: readonly ControlService[],
): Operators {
  const sent = new Map<string, Command>();
  const answers = new Map<string, Answer>();

  function send(requestId: string, command: Command, first = 0) {
    if (!sent.has(requestId)) {
      history.record({type: 'command-sent', requestId, command});
    }
    sent.set(requestId, command);
    return runOutsideProcess(() =>
      sendUntilAnswered(requestId, command, first),
    );
  }

  async function sendUntilAnswered(
    requestId: string,
    command: Command,
    first: number,
  ): Promise<Answer> {
    for (let attempt = first; ; attempt++) {
      const service = services[attempt % services.length]!;
      try {
        const request = {key, requestId, command};
        const answer = await service.command(request);
        history.record({type: 'command-answered', requestId, answer});
        answers.set(requestId, answer);
        return answer;
      } catch {
        await new Promise(resolve => setTimeout(resolve, RETRY_MS));
      }
    }
  }

  return {
    send,
    resend(requestId) {
      const command = sent.get(requestId);
      // Nothing was sent if there was no leader on whose tables to base an edit.
      if (command) void send(requestId, command, sent.size);
    },
    answer: requestId => answers.get(requestId),
  };
}
