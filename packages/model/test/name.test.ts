import {describe, expect, it} from 'vitest';
import {nameSchema} from '@lentildrift/model';

// Rows are looked up by name in plain objects, so a row named like an inherited
// property would be confused with that property.
describe('a name', () => {
  it('cannot be that of a property inherited from Object.prototype', () => {
    const inherited = Object.getOwnPropertyNames(Object.prototype);
    expect(inherited).toContain('constructor');
    for (const name of inherited) {
      expect(nameSchema.safeParse(name).success).toBe(false);
    }
  });
});
