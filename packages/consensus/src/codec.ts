/** Encodes and decodes the changes and the state of a state machine. */
import type {z} from 'zod';

export abstract class Codec<S, C> {
  abstract encodeChange(change: C): string;
  abstract decodeChange(text: string): C;
  abstract encodeState(state: S): string;
  abstract decodeState(text: string): S;
}

/** Encodes as JSON; decoding validates against the schemas that are given. */
export class JsonCodec<S, C> extends Codec<S, C> {
  constructor(
    private readonly schemas: {
      readonly change?: z.ZodType<C>;
      readonly state?: z.ZodType<S>;
    } = {},
  ) {
    super();
  }

  override encodeChange(change: C): string {
    return JSON.stringify(change);
  }

  override decodeChange(text: string): C {
    return decode(text, this.schemas.change);
  }

  override encodeState(state: S): string {
    return JSON.stringify(state);
  }

  override decodeState(text: string): S {
    return decode(text, this.schemas.state);
  }
}

function decode<T>(text: string, schema: z.ZodType<T> | undefined): T {
  const value: unknown = JSON.parse(text);
  return schema ? schema.parse(value) : (value as T);
}
