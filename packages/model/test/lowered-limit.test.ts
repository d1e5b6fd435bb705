import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  apply,
  ceilingOf,
  EMPTY_STATE,
  teamSchema,
  type ChangeBody,
  type State,
} from '@lentildrift/model';

const sliceAmounts = fc.array(fc.nat({max: 30}), {minLength: 1, maxLength: 8});

/**
 * Guards against sessions that together run more calls than a lowered limit
 * allows: holders cannot coordinate, so the ceilings that the edit puts on the
 * slices must keep the limit before any holder has reported.
 */
describe('a lowered limit', () => {
  it('is kept by the ceilings of all slices before their holders report', () => {
    let lowered = 0;
    fc.assert(
      fc.property(
        sliceAmounts,
        fc.array(fc.nat({max: 200}), {minLength: 1, maxLength: 4}),
        (shares, limits) => {
          let state: State = EMPTY_STATE;
          const run = (body: ChangeBody) => {
            state = apply(state, {atMs: 0, body}).state;
          };
          const setLimit = (limit: number) =>
            run({
              type: 'command',
              requestId: String(state.revision),
              command: {
                type: 'edit',
                edit: {
                  basedOn: state.tables.version,
                  teams: [teamSchema.parse({name: 'club', share: 1, limit})],
                },
              },
            });
          const total = shares.reduce((sum, share) => sum + share, 0);
          setLimit(total);
          shares.forEach((amount, n) => {
            const session = `s${n}`;
            run({type: 'open-session', session, entryHost: session});
            const slice = {team: 'club', session, basedOn: 0, amount};
            run({type: 'set-slices', slices: [slice]});
          });
          for (const limit of limits) {
            setLimit(limit);
            const held = Object.values(state.slices['club']!);
            const sum = held.reduce((all, slice) => all + ceilingOf(slice), 0);
            expect(sum).toBeLessThanOrEqual(limit);
            // Amounts stay, since calls under them may still be running.
            expect(held.map(({amount}) => amount)).toEqual(shares);
            if (limit < total) lowered++;
            // Sets one slice to what its holder reports as still running.
            const [session, slice] = Object.entries(state.slices['club']!)[0]!;
            const basedOn = slice.generation;
            const {amount} = slice;
            run({
              type: 'set-slices',
              slices: [{team: 'club', session, basedOn, amount}],
            });
            const after = Object.values(state.slices['club']!);
            const kept = after.reduce((all, one) => all + ceilingOf(one), 0);
            expect(kept).toBeLessThanOrEqual(Math.max(limit, sum));
          }
        },
      ),
      {seed: 4, numRuns: 300},
    );
    expect(lowered).toBeGreaterThan(100);
  });
});
