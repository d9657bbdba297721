/** The frames that the processes of the system exchange. */
import { Outcome, Rank, Reason, RequestKind } from '@toucanbend/core';
import { z } from 'zod';

/** The type of a frame. The number is the first element of the encoded frame, so it must not change. */
export enum FrameType {
  Challenge = 1,
  Hello = 2,
  Welcome = 3,
  Ping = 4,
  Pong = 5,
  Draining = 6,
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
  RequestNotFound = 20,
  VoidToken = 21,
  TokenVoided = 22,
  Release = 23,
  ConfigurationDigest = 30,
  ConfigurationPull = 31,
  ConfigurationChanges = 32,
  LoadUpdates = 40,
  RegistryPull = 41,
  RegistryRecords = 42,
  RegistryDigest = 43,
}

/** The state of an execution token at the side that issued it. */
export enum TokenState {
  /** Issued and not used yet. */
  Minted = 'minted',
  Running = 'running',
  Finished = 'finished',
  /** Invalidated before it was used; a later use is rejected. */
  Voided = 'voided',
  /** Not in the side's table. It may have been used and its record dropped since. */
  Unknown = 'unknown',
}

export enum NodeRole {
  Entry = 'entry',
  Side = 'side',
  Operator = 'operator',
}

/** Maximum number of load updates in one frame. An entry produces far fewer between two frames. */
const MAX_LOAD_UPDATES = 4_096;

const name = z.string().max(256);
/** A status that an answer can have; Node cannot write one below 100 or of four digits, and those below 200 end no call. */
const finalStatus = z.number().int().min(200).max(999);
const count = z.number().int().nonnegative();
const milliseconds = z.number().nonnegative();
/** A position in the history of the store. */
const storePosition = z.object({ era: count, revision: count });
const bytes = z.custom<Uint8Array>((value) => value instanceof Uint8Array);

const workFields = {
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
const attemptFields = { requestId: name, attempt: count };

/** The schema of each frame type. The fields are encoded by position, in the order given here. */
export const frameSchemas = {
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
  /** Announces that the sender drains and accepts no new work, or that it accepts work again. */
  [FrameType.Draining]: z.object({ node: name, leaving: z.boolean() }),
  /** Requests a bid from a side: whether it would accept a request, and its predicted times. */
  [FrameType.Probe]: z.object({ probeId: count, ...workFields, timeLeftMs: milliseconds, mint: z.boolean() }),
  /** A side's response to a probe. */
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
  /** Submits a request to a side; the request body follows in Body frames. */
  [FrameType.Submit]: z.object({
    ...attemptFields,
    ...workFields,
    timeLeftMs: milliseconds,
    bodyBytes: count,
    deliveredTokens: count,
    call: z.object({ method: name, path: z.string().max(4096), contentType: name }).optional(),
    token: name.optional(),
  }),
  [FrameType.Body]: z.object({ ...attemptFields, offset: count, bytes }),
  [FrameType.Accepted]: z.object({ ...attemptFields }),
  /** Tokens of an answer; `offset` is the number of tokens that precede them in the answer. */
  [FrameType.Output]: z.object({ ...attemptFields, offset: count, tokens: z.array(z.string()) }),
  /** The complete response of a plain service. */
  [FrameType.Answer]: z.object({ ...attemptFields, status: finalStatus, contentType: name, bytes }),
  [FrameType.Done]: z.object({
    ...attemptFields,
    outcome: z.enum(Outcome),
    reason: z.enum(Reason),
    retryAfterMs: milliseconds,
    tokens: count,
  }),
  [FrameType.Cancel]: z.object({ ...attemptFields }),
  /** Resumes the frames of a request on another link, starting at a token offset. */
  [FrameType.Attach]: z.object({ ...attemptFields, offset: count }),
  /** Reports that the side has no such request, or has not received its whole body yet. */
  [FrameType.RequestNotFound]: z.object({ ...attemptFields }),
  [FrameType.VoidToken]: z.object({ token: name }),
  [FrameType.TokenVoided]: z.object({ token: name, state: z.enum(TokenState) }),
  /** Confirms that the entry has received the whole answer, so that the side may drop the request. */
  [FrameType.Release]: z.object({ ...attemptFields }),
  /** Announces the revision of the configuration that the sender applies. */
  [FrameType.ConfigurationDigest]: z.object({ revision: count }),
  [FrameType.ConfigurationPull]: z.object({ revision: count }),
  /** Configuration changes between two revisions; `from` 0 means that `payload` is the whole document. */
  [FrameType.ConfigurationChanges]: z.object({ from: count, to: count, payload: z.string() }),
  /** Load updates: jobs that an entry placed on backend servers, jobs that ended, and server failures. */
  [FrameType.LoadUpdates]: z.object({ changes: z.array(z.unknown()).max(MAX_LOAD_UPDATES) }),
  /**
   * Requests the registry records that are newer than the sender's positions; `mayList` if all records of a kind may be sent where
   * the newer ones would lack removals.
   */
  [FrameType.RegistryPull]: z.object({
    positions: z.record(z.string(), storePosition),
    mayList: z.boolean().optional(),
  }),
  /**
   * Announces the position of the sender's newest record of each kind, whether it can reach the store, and the positions after
   * which it knows all removals.
   */
  [FrameType.RegistryDigest]: z.object({
    positions: z.record(z.string(), storePosition),
    isStoreReachable: z.boolean(),
    removalsSince: z.record(z.string(), storePosition).optional(),
  }),
  /**
   * Registry records, the positions up to which they make those of the receiver complete, and the kinds of which they are all.
   * Senders of earlier versions, which leave out `listed`, may lack removals before these positions.
   */
  [FrameType.RegistryRecords]: z.object({
    positions: z.record(z.string(), storePosition),
    records: z.array(z.unknown()),
    listed: z.array(z.string()).optional(),
  }),
} as const;

type Schemas = typeof frameSchemas;

/** A frame of a given type. */
export type FrameOf<Type extends FrameType> = { readonly type: Type } & Readonly<z.infer<Schemas[Type]>>;

/** A frame of any type. */
export type Frame = { [Type in FrameType]: FrameOf<Type> }[FrameType];

const payloadTypes: ReadonlySet<FrameType> = new Set([FrameType.Body, FrameType.Output, FrameType.Answer]);

/**
 * Returns whether frames of a type carry request or answer content, as opposed to control data.
 *
 * @param type - the frame type
 * @returns true for frames whose content comes from or goes to a caller
 */
export function isPayload(type: FrameType): boolean {
  return payloadTypes.has(type);
}
