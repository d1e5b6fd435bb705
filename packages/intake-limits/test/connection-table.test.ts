import {EventEmitter} from 'node:events';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {createConnectionTable} from '../src/index.js';

class FakeConnection extends EventEmitter {
  isDestroyed = false;

  destroy(): void {
    this.isDestroyed = true;
    this.emit('close');
  }
}

const neverWaits = () => undefined;

function fill(count: number) {
  let closed = 0;
  const table = createConnectionTable<FakeConnection>(
    count,
    () => (closed += 1),
  );
  const connections = Array.from({length: count}, () => new FakeConnection());
  for (const connection of connections) table.add(connection, neverWaits);
  return {table, connections, closed: () => closed};
}

describe('the table of connections', () => {
  beforeEach(() => vi.useFakeTimers({toFake: ['performance']}));
  afterEach(() => vi.useRealTimers());

  it('closes the oldest connection without a request before one that had a request', () => {
    const {table, connections, closed} = fill(3);
    const [used, oldest, newest] = connections as [
      FakeConnection,
      FakeConnection,
      FakeConnection,
    ];
    table.markUsed(used);
    table.markUnused(used);
    expect(table.add(new FakeConnection(), neverWaits)).toBe(true);
    expect([used, oldest, newest].map(each => each.isDestroyed)).toEqual([
      false,
      true,
      false,
    ]);
    expect(closed()).toBe(1);
    expect(table.size()).toBe(3);
  });

  it('closes no connection with a request in flight, but the new one', () => {
    const {table, connections} = fill(2);
    for (const connection of connections) table.markUsed(connection);
    const extra = new FakeConnection();
    expect(table.add(extra, neverWaits)).toBe(false);
    expect(extra.isDestroyed).toBe(true);
    expect(connections.some(each => each.isDestroyed)).toBe(false);
  });

  it('takes a new connection when another has closed', () => {
    const {table, connections, closed} = fill(2);
    connections[0]!.destroy();
    expect(table.add(new FakeConnection(), neverWaits)).toBe(true);
    expect(connections[1]!.isDestroyed).toBe(false);
    expect(closed()).toBe(0);
  });

  it('closes the connection that waits longest for its client when all are in use', () => {
    const table = createConnectionTable<FakeConnection>(3, () => undefined);
    const connections = [undefined, 300, 200].map(sinceMs => {
      const connection = new FakeConnection();
      table.add(connection, () => sinceMs);
      table.markUsed(connection);
      return connection;
    });
    vi.advanceTimersByTime(1100);
    expect(table.add(new FakeConnection(), neverWaits)).toBe(false);
    vi.advanceTimersByTime(1000);
    expect(table.add(new FakeConnection(), neverWaits)).toBe(true);
    expect(connections.map(each => each.isDestroyed)).toEqual([
      false,
      false,
      true,
    ]);
  });
});
