import {describe, expect, it} from 'vitest';
import {nameSchema} from '@lentildrift/model';

describe('a name', () => {
  it('is never one that every object has, which a look-up would find', () => {
    const inherited = Object.getOwnPropertyNames(Object.prototype);
    expect(inherited).toContain('constructor');
    for (const name of inherited) {
      expect(nameSchema.safeParse(name).success).toBe(false);
    }
  });
});
