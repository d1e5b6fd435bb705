/**
 * Tests that the views of the state follow it without detours: reports and ticks
 * between the projection of a change and its commit took the views back and
 * forth, so that a busy leader spent more time on them than on its decisions.
 */
import type {Change, Event} from '@lentildrift/queue';
import {splitTaskName} from '@lentildrift/queue';
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import {createHarness, job, worker, type Harness} from './harness.js';

let harness: Harness;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(async () => {
  await harness.stop();
  vi.useRealTimers();
});

/** Jobs and workers that an event changes. */
function changedBy(event: Event): string[] {
  switch (event.type) {
    case 'submit':
      return [event.job.id];
    case 'ends':
      return [event.worker, ...event.ends.map(([name]) => jobOf(name))];
    case 'lost':
    case 'start':
      return event.runs.map(([name]) => jobOf(name));
    case 'forget':
      return [...event.jobs];
    default:
      return [];
  }
}

function jobOf(task: string): string {
  return splitTaskName(task).job;
}

/** Differences of a change: once when it is projected, once when committed. */
function countDifferences({events}: Change): number {
  const projected = events.filter(({type}) => type !== 'start');
  return (
    new Set(projected.flatMap(changedBy)).size +
    new Set(events.flatMap(changedBy)).size
  );
}

it('visits each difference once for a projection and once for a commit', async () => {
  harness = await createHarness();
  for (const name of ['w1', 'w2', 'w3', 'w4']) {
    await harness.addWorker(worker(name));
  }
  const {replica, metrics} = harness;
  const visited = () =>
    Number(
      /^lentildrift_view_differences_total (\d+)/m.exec(metrics.text())![1],
    );
  let allowed = 0;
  replica.onApply(({change}) => (allowed += countDifferences(change)));
  // Several ticks and reports come before each commit.
  replica.commitDelayMs = 350;
  const visitedBefore = visited();
  for (let index = 0; index < 12; index++) {
    const spec = job(`j${index}`, {count: 4});
    void harness.leader.commit({type: 'submit', job: spec, atMs: Date.now()});
    await harness.advance(130);
  }
  await harness.advance(10_000);
  expect(harness.phase('j11')).toBe('completed');
  expect(visited() - visitedBefore).toBeGreaterThan(allowed / 2);
  expect(visited() - visitedBefore).toBeLessThanOrEqual(allowed);
});
