/** Decodes registry records that another entry has sent. */
import { type EngineParameters } from '@toucanbend/engine-model';
import { z } from 'zod';
import { AnswerForm, type Catalogue, RepeatPolicy } from './catalogue.js';
import { type Evacuation } from './evacuated-data-centre.js';
import { type BackendServer, type EntryMember, ServerState } from './member.js';
import { CrashCauseKind, type QuarantinedCause } from './quarantined-cause.js';
import { RecordKind, type RegistryRecord } from './registry-record.js';

const MAX_PORT = 65_535;
/** Characters that are valid in a header value: requests carry the ids of their servers in one. */
const HEADER_SAFE = /^[\x21-\x7e]+$/;

const optionalNumber = z.union([z.number(), z.undefined()]);

const engineShape: z.ZodType<EngineParameters> = z.object({
  slots: z.number(),
  memoryTokens: z.number(),
  stepsPerPass: z.number(),
  chunkTokens: z.number(),
  stepMs: z.number(),
  generatingMs: z.number(),
  contextMsPerThousand: z.number(),
  prefillTokensPerMs: z.number(),
  attentionMsPerMillionPairs: z.number(),
  helperHopMs: z.number(),
});

const catalogueShape: z.ZodType<Catalogue> = z.object({
  version: z.number(),
  routes: z.array(
    z.object({
      name: z.string(),
      host: z.string(),
      pathPrefix: z.string(),
      targets: z.array(z.object({ service: z.string(), weight: z.number() })),
      repeat: z.enum(RepeatPolicy),
      form: z.enum(AnswerForm),
      timeoutMs: z.number(),
      targetMs: z.number(),
      targetPauseMs: z.number(),
      rank: z.number(),
      attempts: z.number(),
      isPublic: z.boolean(),
    }),
  ),
  services: z.array(
    z.object({
      name: z.string(),
      maxConnections: z.number(),
      engine: z.union([engineShape, z.undefined()]),
      coldMs: z.number().nonnegative().exactOptional(),
      coldPerSecond: z.number().nonnegative().exactOptional(),
    }),
  ),
  accounts: z.array(z.object({ name: z.string(), keys: z.array(z.string()), rank: optionalNumber })),
  limits: z.object({
    maxHeaderBytes: z.number(),
    maxBodyBytes: z.number(),
    headerTimeoutMs: z.number(),
    idleTimeoutMs: z.number(),
  }),
});

const serverShape: z.ZodType<BackendServer> = z.object({
  id: z.string().regex(HEADER_SAFE),
  service: z.string(),
  host: z.string(),
  port: z.number().int().min(1).max(MAX_PORT),
  dataCentre: z.string(),
  slots: z.number(),
  state: z.enum(ServerState),
  bornAtMs: z.number(),
  coldMs: z.number().nonnegative().exactOptional(),
});

const memberShape: z.ZodType<EntryMember> = z.object({
  name: z.string(),
  address: z.string(),
  dataCentre: z.string(),
});

const quarantinedShape: z.ZodType<QuarantinedCause> = z.object({
  service: z.string(),
  kind: z.enum(CrashCauseKind),
  id: z.string(),
  untilMs: z.number(),
});

const evacuationShape: z.ZodType<Evacuation> = z.object({ dataCentre: z.string() });

const identity = {
  id: z.string(),
  position: z.object({ era: z.number().int().nonnegative(), revision: z.number().int().nonnegative() }),
};

const recordShape = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(RecordKind.Catalogue), ...identity, value: catalogueShape.exactOptional() }),
  z.object({ kind: z.literal(RecordKind.Server), ...identity, value: serverShape.exactOptional() }),
  z.object({ kind: z.literal(RecordKind.Entry), ...identity, value: memberShape.exactOptional() }),
  z.object({ kind: z.literal(RecordKind.Quarantine), ...identity, value: quarantinedShape.exactOptional() }),
  z.object({ kind: z.literal(RecordKind.Evacuation), ...identity, value: evacuationShape.exactOptional() }),
]);

/** The records of another entry, as far as they can be read. */
export interface DecodedRecords {
  readonly records: readonly RegistryRecord[];
  /** Number of values that are no valid records. */
  readonly unreadable: number;
  /** Why the first of them is none; empty if there are none. */
  readonly firstError: string;
}

/**
 * Decodes records.
 *
 * @param values - the values received from another entry
 * @returns the valid records, and how many values are not valid
 */
export function decodeRecords(values: readonly unknown[]): DecodedRecords {
  const parsed = values.map((value) => recordShape.safeParse(value));
  const errors = parsed.flatMap((result) => (result.success ? [] : [result.error]));
  const issue = errors[0]?.issues[0];
  return {
    records: parsed.flatMap((result) => (result.success ? [result.data] : [])),
    unreadable: errors.length,
    firstError: issue === undefined ? '' : `${issue.path.map(String).join('.')}: ${issue.message}`,
  };
}
