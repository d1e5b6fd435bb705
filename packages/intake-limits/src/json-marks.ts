/** Estimates what the value of a JSON text takes before the text is parsed. */

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const COMMA = 0x2c;
const OPEN_BRACKET = 0x5b;
const OPEN_BRACE = 0x7b;

/**
 * Counts `{`, `[` and `,` outside of strings. Each value beyond the first needs
 * one of them. Stops counting above `max`.
 */
export function countJsonMarks(text: string, max: number): number {
  let count = 0;
  for (let i = 0; i < text.length && count <= max; i++) {
    const code = text.charCodeAt(i);
    if (code === QUOTE) i = findStringEnd(text, i + 1);
    else if (code === COMMA || code === OPEN_BRACE || code === OPEN_BRACKET) {
      count += 1;
    }
  }
  return count;
}

function findStringEnd(text: string, start: number): number {
  let i = start;
  while (i < text.length && text.charCodeAt(i) !== QUOTE) {
    i += text.charCodeAt(i) === BACKSLASH ? 2 : 1;
  }
  return i;
}
