/**
 * Limits the memory of the answers that this process holds, for all requests together.
 *
 * Load pattern: several servers send whole answers without end at once; each ends at its own limit, but together they exceed
 * the memory of the host.
 */

import { createRequestMemory, type RequestMemory } from './request-memory.js';

/** Limit on one answer that is held in bytes. */
export const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** Limit on the memory of all answers in bytes, by which an entry stays far below the memory of the smallest host. */
const MAX_HELD_BYTES = 48 * 1024 * 1024;
/** Memory that each request has in any case, in bytes: most answers are shorter. */
const FREE_BYTES = 64 * 1024;

/**
 * Creates the memory for the answers of a process.
 *
 * @returns the memory, of which nothing is taken
 */
export function createAnswerMemory(): RequestMemory {
  return createRequestMemory(MAX_HELD_BYTES, FREE_BYTES);
}
