/** Schema of the settings file of an entry or a side. */
import { RequestKind } from '@toucanbend/core';
import { z } from 'zod';

const address = z.string().regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, 'must be IP:PORT');
const milliseconds = z.number().positive();
const fraction = z.number().min(0).max(1);

const node = z.strictObject({
  name: z.string().min(1),
  dataCentre: z.string().min(1),
  region: z.string().min(1),
  /** Address on which this process accepts links from peers. */
  peerAddress: address,
  /** Address on which this process serves metrics, health and status to operators. */
  operatorAddress: address,
  /** Valid peer keys. This process proves its identity with the first and accepts any of them from peers. */
  peerKeys: z.array(z.string().min(16, 'must have at least 16 characters')).min(1),
  /** Seed of the random number generator. */
  seed: z.number().int().default(1),
});

const platform = z.strictObject({
  store: address,
  hosts: address,
  hostsIntervalMs: milliseconds.default(1_000),
  storeTimeoutMs: milliseconds.default(1_000),
});

const links = z.strictObject({
  handshakeTimeoutMs: milliseconds.default(800),
  pingIntervalMs: milliseconds.default(300),
  dialledSilenceMs: milliseconds.default(1_000),
  acceptedSilenceMs: milliseconds.default(2_500),
  maxQueuedBytes: z.number().int().positive().default(67_108_864),
  maxAcceptedLinks: z.number().int().positive().default(4_096),
  idleMs: milliseconds.default(60_000),
});

const entry = z.strictObject({
  /** Address on which this process accepts requests from callers. */
  callerAddress: address,
  maxBodyBytes: z.number().int().positive().default(16_777_216),
  maxPromptTokens: z.number().int().positive().default(1_200_000),
  maxAnswerTokens: z.number().int().positive().default(16_384),
  probeTimeoutMs: milliseconds.default(80),
  /** How long before its deadline a request is answered at the latest. */
  answerMarginMs: milliseconds.default(30),
  /** Time limit for receiving a complete request. */
  receiveTimeoutMs: milliseconds.default(30_000),
  probesByPrefix: z.number().int().min(0).default(1),
  probesAtRandom: z.number().int().min(0).default(2),
});

const side = z.strictObject({
  /** Name of the backend server beside this process, as given in the configuration. */
  server: z.string().min(1),
  kind: z.enum(RequestKind),
  /** Address on which the backend server listens. */
  backend: address,
  /** How long a request is kept after the link to its entry has closed. */
  attachGraceMs: milliseconds.default(3_000),
  /** How long answers are kept after their end. */
  answerRetentionMs: milliseconds.default(10_000),
  /** How long answers to calls that must not be repeated are kept. */
  tokenRetentionMs: milliseconds.default(600_000),
  /**
   * Time without a token after which the engine of a stream is considered failed. A multiple of the predicted time to
   * the next token is added to it.
   */
  stallMs: milliseconds.default(2_000),
});

const scheduler = z.strictObject({
  memoryTokens: z.number().int().positive().default(400_000),
  maxRunning: z.number().int().positive().default(64),
  maxQueued: z.number().int().positive().default(512),
  longPromptTokens: z.number().int().positive().default(16_000),
  maxLongPrefills: z.number().int().positive().default(1),
  longShare: fraction.default(0.25),
  prefillWindowMs: milliseconds.default(60),
  decodeTokenCost: z.number().positive().default(8),
  claimAfterMs: milliseconds.default(1_000),
  shareWindowMs: milliseconds.default(4_000),
  initialPrefillTokensPerMs: z.number().positive().default(20),
  initialStepMs: z.number().positive().default(25),
});

const log = z.strictObject({
  level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
  /** Number of decision lines that are kept in memory for `explain`. */
  keptDecisions: z.number().int().nonnegative().default(2_000),
});

/** Schema of the settings file. Which of `entry` and `side` must be present is checked by `parseSettings`. */
export const settingsShape = z.strictObject({
  node,
  platform,
  links: links.prefault({}),
  log: log.prefault({}),
  entry: entry.optional(),
  side: side.optional(),
  scheduler: scheduler.prefault({}),
});

/** The settings of a process, with defaults filled in. */
export type Settings = z.infer<typeof settingsShape>;
/** The settings specific to entries. */
export type EntrySettings = NonNullable<Settings['entry']>;
/** The settings specific to sides. */
export type SideSettings = NonNullable<Settings['side']>;
