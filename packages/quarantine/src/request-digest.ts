/** Identifies a request each time that its caller sends it. */
import { createHash } from 'node:crypto';

/** What two requests have in common that are one request, sent twice. */
export interface RequestContent {
  /** Name of the client account; undefined if the caller needs none. */
  readonly account: string | undefined;
  readonly method: string;
  /** Value of the `Host` header. */
  readonly host: string;
  /** Path and query. */
  readonly path: string;
  /** The body, without its framing. */
  readonly body: Buffer;
}

/** Length of a digest in bytes: no caller can find a request with the digest of another caller's one. */
const DIGEST_BYTES = 16;

/**
 * Computes the digest of a request. Ids, time limits and other headers differ when a request is sent again and do not
 * contribute to it.
 *
 * @param content - the content of the request
 * @returns the digest, in the URL-safe form of Base64
 */
export function digestRequest({ account, method, host, path, body }: RequestContent): string {
  const head = JSON.stringify([account ?? null, method, host.toLowerCase(), path]);
  return createHash('sha256')
    .update(`${String(Buffer.byteLength(head))}:${head}`)
    .update(body)
    .digest()
    .subarray(0, DIGEST_BYTES)
    .toString('base64url');
}
