/** Operators, whose commands go to one control process after another. */
import type {Answer, Command} from '@lentildrift/model';
import type {ControlService} from '@lentildrift/protocol';
import type {History} from '../history.js';
import {runOutsideProcess} from './process.js';

const RETRY_MS = 500;

export interface Operators {
  /** Sends until an answer comes, first to the service at `first`. */
  send(requestId: string, command: Command, first?: number): Promise<Answer>;
  /** Sends a command again under its request ID. */
  resend(requestId: string): void;
  answer(requestId: string): Answer | undefined;
}

export function createOperators(
  history: History,
  key: string,
  services: readonly ControlService[],
): Operators {
  const sent = new Map<string, Command>();
  const answers = new Map<string, Answer>();

  function command(requestId: string, content: Command, first = 0) {
    if (!sent.has(requestId)) {
      history.record({type: 'command-sent', requestId, command: content});
    }
    sent.set(requestId, content);
    return runOutsideProcess(() =>
      sendUntilAnswered(requestId, content, first),
    );
  }

  async function sendUntilAnswered(
    requestId: string,
    content: Command,
    first: number,
  ): Promise<Answer> {
    for (let attempt = first; ; attempt++) {
      const service = services[attempt % services.length]!;
      try {
        const request = {key, requestId, command: content};
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
    send: command,
    resend(requestId) {
      const content = sent.get(requestId);
      // An operator who found no leader had nothing to base an edit on.
      if (content) void command(requestId, content, sent.size);
    },
    answer: requestId => answers.get(requestId),
  };
}
