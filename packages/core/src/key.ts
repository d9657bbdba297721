/** API keys of callers and operators. Keys are stored only as hashes. */
import { createHash } from 'node:crypto';

/**
 * Hashes a key for storage and comparison.
 *
 * @param key - the key
 * @returns the SHA-256 hash as hexadecimal digits
 */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/**
 * Extracts the bearer token from an `Authorization` header.
 *
 * @param authorization - the header value, undefined if the request has none
 * @returns the key, or undefined if the header holds no bearer token
 */
export function bearerKey(authorization: string | undefined): string | undefined {
  return /^Bearer (.+)$/i.exec(authorization ?? '')?.[1];
}
