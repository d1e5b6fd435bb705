/** Encodes changes and the state of the queues for the log and its snapshots. */
import {JsonCodec} from '@lentildrift/consensus';
import {
  Change,
  fromStored,
  StoredState,
  toStored,
  type State,
} from '@lentildrift/queue';
import {deflateRawSync, inflateRawSync} from 'node:zlib';

/**
 * Largest change, in UTF-16 units before compression: enough for a batch of
 * events or one edit of large tables.
 */
export const MAX_CHANGE_CHARS = 4 * 1024 * 1024;
/**
 * Longer changes are compressed. Only edits of large tables are: with thousands
 * of queues one takes more than a megabyte, which the leader sends to each other
 * member, and all other changes wait behind it. Smaller changes are not worth the
 * processor time.
 */
const COMPRESS_ABOVE_CHARS = 256 * 1024;
/** First character of a compressed change; JSON objects begin with a brace. */
const COMPRESSED = 'z';
/** The rows of tables resemble each other, so the fastest level suffices. */
const COMPRESSION_LEVEL = 1;
/** UTF-8 takes at most 3 bytes for a UTF-16 unit. */
const MAX_CHANGE_BYTES = 3 * MAX_CHANGE_CHARS;

export class QueueCodec extends JsonCodec<State, Change> {
  constructor() {
    super({change: Change});
  }

  override encodeChange(change: Change): string {
    const text = super.encodeChange(change);
    // A change that is too large stays as it is, and is refused for its size.
    if (text.length > MAX_CHANGE_CHARS) return text;
    if (text.length <= COMPRESS_ABOVE_CHARS) return text;
    const data = deflateRawSync(text, {level: COMPRESSION_LEVEL});
    return COMPRESSED + data.toString('base64');
  }

  override decodeChange(text: string): Change {
    if (!text.startsWith(COMPRESSED)) return super.decodeChange(text);
    const data = Buffer.from(text.slice(COMPRESSED.length), 'base64');
    const inflated = inflateRawSync(data, {maxOutputLength: MAX_CHANGE_BYTES});
    return super.decodeChange(inflated.toString());
  }

  override encodeState(state: State): string {
    return JSON.stringify(toStored(state));
  }

  override decodeState(text: string): State {
    return fromStored(StoredState.parse(JSON.parse(text)));
  }
}
