/** HMAC proofs by which a peer shows that it holds one of the peer keys of the system. */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

const NONCE_BYTES = 16;

/**
 * The end of a connection that creates a proof. It is part of the signed data, so that the proof of one end is not
 * valid for the other.
 */
export enum ProvingEnd {
  Dialler = 'dialler',
  Listener = 'listener',
}

/** The data that a proof signs. */
export interface ProofSubject {
  readonly end: ProvingEnd;
  readonly node: string;
  readonly listenerNonce: string;
  readonly diallerNonce: string;
}

/**
 * Creates a random nonce.
 *
 * @returns the nonce as hexadecimal digits
 */
export function createNonce(): string {
  return randomBytes(NONCE_BYTES).toString('hex');
}

/**
 * Creates a proof of knowledge of a peer key.
 *
 * @param key - the peer key
 * @param subject - the data to sign
 * @returns the HMAC-SHA256 of the subject as hexadecimal digits
 */
export function createProof(key: string, subject: ProofSubject): string {
  return createHmac('sha256', key)
    .update(JSON.stringify([subject.end, subject.node, subject.listenerNonce, subject.diallerNonce]))
    .digest('hex');
}

/**
 * Checks a proof against every valid key. Two keys are valid during a key rotation.
 *
 * @param keys - the valid peer keys
 * @param subject - the data that the proof must sign
 * @param proof - the proof as received
 * @returns whether the proof was created with one of the keys
 */
export function isProofValid(keys: readonly string[], subject: ProofSubject, proof: string): boolean {
  const received = Buffer.from(proof);
  return keys.some((key) => {
    const expected = Buffer.from(createProof(key, subject));
    return expected.length === received.length && timingSafeEqual(expected, received);
  });
}
