/**
 * Limits the chunks of an answer by its length.
 *
 * Load pattern: a server sends chunks of a few bytes without end. Each costs the time of a much longer one.
 */
import { AnswerForm } from '@toucanbend/registry';

/** Counts the chunks of one answer. */
export interface ChunkLimit {
  /**
   * Counts a chunk.
   *
   * @param length - its length in bytes
   * @returns whether there are too many for the length of the answer so far
   */
  isExceededBy(length: number): boolean;
}

/** Number of chunks of any length that an answer may have. */
const MAX_SHORT_CHUNKS = 8_192;
/**
 * Mean length of further chunks in bytes. Servers send each event of a stream in a chunk of its own, which holds at least an
 * id and a token, but fill their buffers with a whole answer of such a length.
 */
const MIN_MEAN_CHUNK_BYTES: Readonly<Record<AnswerForm, number>> = {
  [AnswerForm.EventStream]: 32,
  [AnswerForm.Whole]: 256,
};

/**
 * Creates the limit of one answer.
 *
 * @param form - the form of the answer
 * @returns the limit, before the first chunk
 */
export function createChunkLimit(form: AnswerForm): ChunkLimit {
  let chunks = 0;
  let bytes = 0;
  return {
    isExceededBy: (length) => {
      chunks += 1;
      bytes += length;
      return chunks > MAX_SHORT_CHUNKS + bytes / MIN_MEAN_CHUNK_BYTES[form];
    },
  };
}
