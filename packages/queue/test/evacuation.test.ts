import {
  apply,
  EMPTY_STATE,
  fromStored,
  isEvacuated,
  StoredState,
  toStored,
  type Event,
} from '@lentildrift/queue';
import {expect, it} from 'vitest';

function order(dataCentre: string, evacuated: boolean): Event {
  return {type: 'evacuation', dataCentre, evacuated};
}

it('an order that is sent again, or ends an evacuation that is over, changes nothing', () => {
  const {state, outcomes} = apply(EMPTY_STATE, {
    events: [order('a', false), order('a', true), order('a', true)],
  });
  expect(outcomes).toEqual(['known', 'applied', 'known']);
  expect([isEvacuated(state, 'a'), isEvacuated(state, 'b')]).toEqual([
    true,
    false,
  ]);
  const ended = apply(state, {events: [order('a', false), order('a', false)]});
  expect(ended.outcomes).toEqual(['applied', 'known']);
  expect(isEvacuated(ended.state, 'a')).toBe(false);
  expect(isEvacuated(state, 'a')).toBe(true);
});

it('evacuations are kept by a snapshot, and a snapshot of an earlier version holds none', () => {
  const {state} = apply(EMPTY_STATE, {
    events: [order('a', true), order('b', true), order('a', false)],
  });
  const stored = JSON.parse(JSON.stringify(toStored(state)));
  expect([...fromStored(StoredState.parse(stored)).evacuated]).toEqual(['b']);
  const {evacuated: _, ...earlier} = stored;
  expect(fromStored(StoredState.parse(earlier)).evacuated.size).toBe(0);
});
