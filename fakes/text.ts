/** Generates the text of the fake model engine; each token is derived from all preceding text. */

const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;
const TOKEN_DIGITS = 3;
const RADIX = 36;

/** Running hash of a text. */
export type TextState = number;

/**
 * Updates the hash with more text.
 *
 * @param state - hash of the text before
 * @param text - more text
 * @returns hash of the combined text
 */
export function advanceText(state: TextState, text: string): TextState {
  let next = state;
  for (let index = 0; index < text.length; index += 1) {
    next = Math.imul(next ^ text.charCodeAt(index), PRIME);
  }
  return next >>> 0;
}

/**
 * Returns the hash of the empty text.
 *
 * @returns the initial hash state
 */
export function startText(): TextState {
  return OFFSET_BASIS;
}

/**
 * Returns the token that follows a text.
 *
 * @param state - hash of the text
 * @returns a token of four characters
 */
export function nextToken(state: TextState): string {
  const mixed = Math.imul(state ^ (state >>> 15), 0x2c1b3c6d) >>> 0;
  return ` ${(mixed % RADIX ** TOKEN_DIGITS).toString(RADIX).padStart(TOKEN_DIGITS, '0')}`;
}

/**
 * Returns the expected answer to a prompt.
 *
 * @param prompt - prompt that the answer is derived from
 * @param tokens - length of the answer in tokens
 * @returns the answer's text
 */
export function expectedAnswer(prompt: string, tokens: number): string {
  let state = advanceText(startText(), prompt);
  let answer = '';
  for (let index = 0; index < tokens; index += 1) {
    const token = nextToken(state);
    answer += token;
    state = advanceText(state, token);
  }
  return answer;
}
