import {describe, expect, it} from 'vitest';
import {parseJobLine, summarizeStages} from '../src/stages.js';

const LINE =
  '  3.2 core-1 at=2026-06-11T01:33:08.069Z level=info event=job-ended ' +
  'process=core-1 job=a queue=q phase=completed tookMs=900 objectiveMs=1000 ' +
  'intakeMs=10 roomMs=100 commitMs=20 orderMs=5 runMs=700 recordMs=30';

describe('the stages of jobs', () => {
  it('are read from the lines of completed jobs only', () => {
    expect(parseJobLine(LINE)).toEqual({
      queue: 'q',
      tookMs: 900,
      objectiveMs: 1000,
      stagesMs: {
        intake: 10,
        room: 100,
        commit: 20,
        order: 5,
        run: 700,
        record: 30,
      },
    });
    expect(parseJobLine(LINE.replace('completed', 'failed'))).toBe(undefined);
    // A leader that took over does not know the stages before.
    expect(parseJobLine(LINE.replace(/ intakeMs.*/, ''))).toBe(undefined);
    expect(parseJobLine('event=job-accepted job=a')).toBe(undefined);
  });

  it('are told apart for jobs that were late', () => {
    const late = LINE.replace('tookMs=900', 'tookMs=1900');
    const rows = summarizeStages(
      [LINE, late, late].map(line => parseJobLine(line)!),
    );
    expect(rows).toMatchObject([
      {queue: 'q', late: false, jobs: 1, otherMs: 35},
      {queue: 'q', late: true, jobs: 2, otherMs: 1035},
    ]);
  });
});
