/**
 * Limits the memory of the bodies that this process holds, for all requests together.
 *
 * Load pattern: many callers send bodies below the limit at once, or stop before the end of one. Each body is held until its
 * request ends, since it may be sent to another server; together they exceed the memory of the host.
 */
import { createRequestMemory, type RequestMemory } from './request-memory.js';

/** Limit on the memory of all bodies in bytes: six of the longest, far below the memory of the smallest host. */
const MAX_HELD_BYTES = 24 * 1024 * 1024;
/** Memory that each request has in any case, in bytes: most bodies are shorter. */
const FREE_BYTES = 16 * 1024;

/**
 * Creates the memory for the bodies of a process.
 *
 * @returns the memory, of which nothing is taken
 */
export function createBodyMemory(): RequestMemory {
  return createRequestMemory(MAX_HELD_BYTES, FREE_BYTES);
}
