import {describe, expect, it, vi} from 'vitest';
import {startTasks, type Reply} from '@lentildrift/task';

type Msg =
  | {type: 'add'; by: number}
  | {type: 'fail'; reply?: Reply<never>}
  | {type: 'read'; reply: Reply<never>}
  | {type: 'ignore'; reply: Reply<never>};

function spawnCounter(failures: string[] = []) {
  const tasks = startTasks((task, error) =>
    failures.push(`${task}: ${error.message}`),
  );
  const task = tasks.spawn<number, Msg>({
    name: 'counter',
    initial: 0,
    async handle(state, message) {
      if (message.type === 'add') return state + message.by;
      if (message.type === 'fail') throw new Error('handler failed');
      if (message.type === 'read') message.reply.resolve(state as never);
      return state;
    },
  });
  const read = () =>
    task.ask<number>(
      reply => ({type: 'read', reply: reply as Reply<never>}),
      1000,
    );
  return {task, read};
}

describe('a task', () => {
  it('keeps its state and the queued messages when a handler throws', async () => {
    const failures: string[] = [];
    const {task, read} = spawnCounter(failures);
    task.post({type: 'add', by: 1});
    task.post({type: 'fail'});
    task.post({type: 'add', by: 2});
    expect(await read()).toBe(3);
    expect(failures).toEqual(['counter: handler failed']);
    await task.stop();
  });

  it('lets timers run while it handles a long queue, and keeps the order', async () => {
    const handled: number[] = [];
    const task = startTasks(() => {}).spawn<null, {type: 'work'; at: number}>({
      name: 'worker',
      initial: null,
      handle(state, {at}) {
        const endMs = performance.now() + 1;
        while (performance.now() < endMs);
        handled.push(at);
        return state;
      },
    });
    const count = 200;
    let handledAtTimer = Infinity;
    setTimeout(() => (handledAtTimer = handled.length), 1);
    for (let at = 0; at < count; at++) task.post({type: 'work', at});
    await task.stop();
    expect(handledAtTimer).toBeLessThan(count);
    expect(handled).toEqual(Array.from({length: count}, (_, at) => at));
  });

  it('rejects the ask whose message made the handler throw', async () => {
    const {task} = spawnCounter();
    const asked = task.ask<number>(
      reply => ({type: 'fail', reply: reply as Reply<never>}),
      1000,
    );
    await expect(asked).rejects.toThrow('handler failed');
    await task.stop();
  });

  it('rejects pending asks when it stops, and all later asks', async () => {
    const {task, read} = spawnCounter();
    const asked = task.ask<number>(
      reply => ({type: 'ignore', reply: reply as Reply<never>}),
      60_000,
    );
    const rejected = expect(asked).rejects.toThrow('has stopped');
    await task.stop();
    await rejected;
    await expect(read()).rejects.toThrow('has stopped');
    expect(task.post({type: 'add', by: 1})).toBe(false);
  });

  it('rejects an ask that gets no reply within its timeout', async () => {
    vi.useFakeTimers();
    const {task} = spawnCounter();
    const asked = task.ask<number>(
      reply => ({type: 'ignore', reply: reply as Reply<never>}),
      500,
    );
    const rejected = expect(asked).rejects.toThrow('within 500 ms');
    await vi.advanceTimersByTimeAsync(500);
    await rejected;
    vi.useRealTimers();
  });
});
