/** Bounds the connections of clients, and closes unused ones first. */

/** A client may pause this long before its connection is given up. */
const STALL_GRACE_MS = 1000;

/** A connection; a `Socket` is one. */
export interface Closable {
  destroy(): unknown;
  once(event: 'close', listener: () => void): unknown;
}

export interface ConnectionTable<C extends Closable> {
  /**
   * Adds a connection. If there are too many, closes the one that has been
   * unused for longest, first of those that never sent a complete request, else
   * the one whose client has kept it waiting for longest, else the new one.
   * Returns whether the new one stays open. `waitsSinceMs` is the time on the
   * clock of the table since which the connection waits for its client, if it
   * does.
   */
  add(connection: C, waitsSinceMs: () => number | undefined): boolean;
  /** The connection has a request in flight. */
  markUsed(connection: C): void;
  /** The connection has no request in flight any more. */
  markUnused(connection: C): void;
  size(): number;
}

export function createConnectionTable<C extends Closable>(
  maxConnections: number,
  onClose: () => void,
  nowMs: () => number = () => performance.now(),
): ConnectionTable<C> {
  const open = new Map<C, () => number | undefined>();
  // Sets keep the order of insertion, so that the first is the oldest.
  const silent = new Set<C>();
  const idle = new Set<C>();

  function remove(connection: C): void {
    open.delete(connection);
    silent.delete(connection);
    idle.delete(connection);
  }

  function findUnused(): C | undefined {
    for (const connection of silent) return connection;
    for (const connection of idle) return connection;
    return undefined;
  }

  function findWaiting(): C | undefined {
    let found: C | undefined;
    let earliestMs = nowMs() - STALL_GRACE_MS;
    for (const [connection, waitsSinceMs] of open) {
      const sinceMs = waitsSinceMs();
      if (sinceMs === undefined || sinceMs > earliestMs) continue;
      earliestMs = sinceMs;
      found = connection;
    }
    return found;
  }

  return {
    add(connection, waitsSinceMs) {
      if (open.size >= maxConnections) {
        const closed = findUnused() ?? findWaiting();
        onClose();
        if (!closed) {
          connection.destroy();
          return false;
        }
        remove(closed);
        closed.destroy();
      }
      open.set(connection, waitsSinceMs);
      silent.add(connection);
      connection.once('close', () => remove(connection));
      return true;
    },
    markUsed(connection) {
      silent.delete(connection);
      idle.delete(connection);
    },
    markUnused(connection) {
      if (open.has(connection)) idle.add(connection);
    },
    size: () => open.size,
  };
}
