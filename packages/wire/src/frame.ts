/** The frames that the processes of the system exchange. */
import { Outcome, Rank, Reason, RequestKind } from '@toucanbend/core';
import { z } from 'zod';

/** The type of a frame; the number travels as the first element of the frame. */
export enum FrameType {
  Challenge = 1,
  Hello = 2,
  Welcome = 3,
  Ping = 4,
  Pong = 5,
  Leaving = 6,
  Probe = 10,
  Bid = 11,
  Submit = 12,
  Body = 13,
  Accepted = 14,
  Output = 15,
  Answer = 16,
  Done = 17,
  Cancel = 18,
  Attach = 19,
  Forgotten = 20,
  VoidToken = 21,
  TokenVoided = 22,
  Release = 23,
  Digest = 30,
  Pull = 31,
  Changes = 32,
  LoadNews = 40,
  RegistryPull = 41,
  RegistryNews = 42,
  RegistryDigest = 43,
}

/** What a side knows of an execution token. */
export enum TokenState {
  /** Handed out and not used. */
  Minted = 'minted',
  Running = 'running',
  Finished = 'finished',
  /** Never used, and refused from now on. */
  Voided = 'voided',
  /** Not in the side's table: it may have been used and forgotten. */
  Unknown = 'unknown',
}

/** The role of a node. */
export enum NodeRole {
  Entry = 'entry',
  Side = 'side',
  Operator = 'operator',
}

/** Changes of load in one frame at most; an entry sends far fewer in the time between two frames. */
const MAX_NEWS = 4_096;

const name = z.string().max(256);
const count = z.number().int().nonnegative();
const milliseconds = z.number().nonnegative();
const bytes = z.custom<Uint8Array>((value) => value instanceof Uint8Array);

const work = {
  kind: z.enum(RequestKind),
  target: name,
  rank: z.enum(Rank),
  account: name,
  weight: z.number().positive(),
  promptTokens: count,
  maxTokens: count,
  firstTokenLimitMs: milliseconds,
  prefix: z.array(count).max(128),
};
const attempt = { requestId: name, attempt: count };

/** The fields of each type of frame, in the order in which they travel. */
export const frameShapes = {
  [FrameType.Challenge]: z.object({ nonce: name }),
  [FrameType.Hello]: z.object({
    node: name,
    role: z.enum(NodeRole),
    dataCentre: name,
    nonce: name,
    proof: name,
  }),
  [FrameType.Welcome]: z.object({ node: name, incarnation: name, dataCentre: name, proof: name }),
  [FrameType.Ping]: z.object({ sentAtMs: milliseconds }),
  [FrameType.Pong]: z.object({ sentAtMs: milliseconds }),
  /** Says whether the sender takes no new work from now on. */
  [FrameType.Leaving]: z.object({ node: name, leaving: z.boolean() }),
  /** Asks a side what it would offer for a request. */
  [FrameType.Probe]: z.object({ probeId: count, ...work, timeLeftMs: milliseconds, mint: z.boolean() }),
  /** A side's answer to a probe. */
  [FrameType.Bid]: z.object({
    probeId: count,
    accepted: z.boolean(),
    reason: z.enum(Reason),
    retryAfterMs: milliseconds,
    firstTokenMs: milliseconds,
    finishMs: milliseconds,
    cachedTokens: count,
    harmMs: milliseconds,
    token: name.optional(),
  }),
  /** Hands a request to a side; its body follows in Body frames. */
  [FrameType.Submit]: z.object({
    ...attempt,
    ...work,
    timeLeftMs: milliseconds,
    bodyBytes: count,
    deliveredTokens: count,
    call: z.object({ method: name, path: z.string().max(4096), contentType: name }).optional(),
    token: name.optional(),
  }),
  [FrameType.Body]: z.object({ ...attempt, offset: count, bytes }),
  [FrameType.Accepted]: z.object({ ...attempt }),
  /** Tokens of an answer; the offset counts tokens from the start of the answer. */
  [FrameType.Output]: z.object({ ...attempt, offset: count, tokens: z.array(z.string()) }),
  /** The answer of a plain service. */
  [FrameType.Answer]: z.object({ ...attempt, status: count, contentType: name, bytes }),
  [FrameType.Done]: z.object({
    ...attempt,
    outcome: z.enum(Outcome),
    reason: z.enum(Reason),
    retryAfterMs: milliseconds,
    tokens: count,
  }),
  [FrameType.Cancel]: z.object({ ...attempt }),
  /** Asks for the frames of a request from an offset on, over another link. */
  [FrameType.Attach]: z.object({ ...attempt, offset: count }),
  /** The side does not hold the request that was asked for. */
  [FrameType.Forgotten]: z.object({ ...attempt }),
  [FrameType.VoidToken]: z.object({ token: name }),
  [FrameType.TokenVoided]: z.object({ token: name, state: z.enum(TokenState) }),
  /** The entry has the whole answer of a request; the side may forget it. */
  [FrameType.Release]: z.object({ ...attempt }),
  /** Newest revision of the configuration that the sender has in force. */
  [FrameType.Digest]: z.object({ revision: count }),
  [FrameType.Pull]: z.object({ revision: count }),
  /** Configuration from one revision to another; `from` 0 means the whole document. */
  [FrameType.Changes]: z.object({ from: count, to: count, payload: z.string() }),
  /** What an entry has sent to backend servers and what has ended there. */
  [FrameType.LoadNews]: z.object({ changes: z.array(z.unknown()).max(MAX_NEWS) }),
  /** Asks an entry for records of the registry that are newer than those known to the sender. */
  [FrameType.RegistryPull]: z.object({ revisions: z.record(z.string(), count) }),
  /** Revision of the newest record of each kind that the sender knows, and whether the store answers it. */
  [FrameType.RegistryDigest]: z.object({ revisions: z.record(z.string(), count), isStoreWell: z.boolean() }),
  [FrameType.RegistryNews]: z.object({
    revisions: z.record(z.string(), count),
    records: z.array(z.unknown()),
  }),
} as const;

type Shapes = typeof frameShapes;

/** A frame of one type. */
export type FrameOf<Type extends FrameType> = { readonly type: Type } & Readonly<z.infer<Shapes[Type]>>;

/** Any frame. */
export type Frame = { [Type in FrameType]: FrameOf<Type> }[FrameType];

const payloadTypes: ReadonlySet<FrameType> = new Set([FrameType.Body, FrameType.Output, FrameType.Answer]);

/**
 * Tells requests' and answers' own content from control.
 *
 * @param type - type of a frame
 * @returns whether frames of the type carry what callers sent or receive
 */
export function isPayload(type: FrameType): boolean {
  return payloadTypes.has(type);
}
