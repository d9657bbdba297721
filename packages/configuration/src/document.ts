/** The configuration document: everything that operators declare, with its revision and history. */
import { type Finding, findingsOf, Rank, RequestKind } from '@toucanbend/core';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';

/** Key of the configuration document in the key-value store. */
export const CONFIGURATION_KEY = 'toucanbend/configuration';

const name = z
  .string()
  .regex(
    /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,127}$/,
    'must be 1 to 128 letters, digits, dots, dashes or underscores, and start with a letter or digit',
  );
const fraction = z.number().min(0).max(1);
const address = z.string().regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, 'must be IP:PORT');
const keyHash = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'must be the SHA-256 of a key as 64 lowercase hexadecimal digits');

const account = z.strictObject({
  name,
  /** SHA-256 of each valid key, as lowercase hexadecimal digits. */
  keyHashes: z.array(keyHash).default([]),
  /** Share of the account relative to the other accounts of a rank. */
  weight: z.number().positive().default(1),
  defaultRank: z.enum(Rank).default(Rank.Standard),
  maxConcurrent: z.number().int().positive().default(256),
  closed: z.boolean().default(false),
});

const rank = z.strictObject({
  name: z.enum(Rank),
  /**
   * Target for the time to first token of a prompt of up to 8,000 tokens, in milliseconds. It grows in proportion
   * for longer prompts.
   */
  firstTokenTargetMs: z.number().positive(),
  /** Time limit of a whole request if the caller sets none, in milliseconds. */
  deadlineMs: z.number().positive(),
  /** Minimum share of each backend server's work, from 0 to 1. */
  floor: fraction,
});

const model = z.strictObject({
  name,
  version: z.string().default('1'),
  adapters: z.array(name).default([]),
});

const service = z.strictObject({
  name,
  /** Calls that are not idempotent and must not be repeated, as METHOD and path. */
  nonIdempotent: z.array(z.string().regex(/^[A-Z]+ \/.*$/, 'must be METHOD /path')).default([]),
});

const dataCentre = z.strictObject({ name, region: name });

const server = z.strictObject({
  name,
  /** Host on which the backend server and its side run. */
  host: name,
  dataCentre: name,
  /** Address on which the side listens for peers. */
  address,
  kind: z.enum(RequestKind),
  /** Names of the models or plain services that the server serves. */
  serves: z.array(name).min(1),
  /** Whether the engine rejects commands with an outdated fencing number. */
  checksFencing: z.boolean().default(false),
});

const historyEntry = z.strictObject({
  changeId: z.string().max(128),
  revision: z.number().int().positive(),
  who: z.string().max(128),
  why: z.string().max(512),
  /** Time of the change, in milliseconds since the Unix epoch. */
  atMs: z.number().int().nonnegative(),
});

const operator = z.strictObject({ name, keyHashes: z.array(keyHash), write: z.boolean().default(false) });

/** Schema of the configuration document. */
export const documentSchema = z.strictObject({
  revision: z.number().int().nonnegative(),
  accounts: z.array(account).default([]),
  ranks: z.array(rank).default([]),
  models: z.array(model).default([]),
  services: z.array(service).default([]),
  dataCentres: z.array(dataCentre).default([]),
  servers: z.array(server).default([]),
  operators: z.array(operator).default([]),
  /** The most recent changes, the newest first. */
  history: z.array(historyEntry).default([]),
});

/** A document that matches {@link documentSchema}. */
export type ConfigurationDocument = z.infer<typeof documentSchema>;
export type AccountConfiguration = ConfigurationDocument['accounts'][number];
/** A rank, with the targets and the minimum share of its requests. */
export type RankConfiguration = ConfigurationDocument['ranks'][number];
/** A plain service: a backend that serves HTTP calls and no model. */
export type ServiceConfiguration = ConfigurationDocument['services'][number];
export type ServerConfiguration = ConfigurationDocument['servers'][number];
/** An operator, who may read or change the document through an entry. */
export type OperatorConfiguration = ConfigurationDocument['operators'][number];
/** An accepted change, as the history records it. */
export type HistoryEntry = ConfigurationDocument['history'][number];

/** The sections of the document: its lists of named items. */
export const namedSections = [
  'accounts',
  'ranks',
  'models',
  'services',
  'dataCentres',
  'servers',
  'operators',
] as const;

export type SectionName = (typeof namedSections)[number];

/** The document of a fleet without any declaration, at revision 0. */
export const emptyDocument: ConfigurationDocument = documentSchema.parse({ revision: 0 });

function duplicateFindings(document: ConfigurationDocument, source: string): Finding[] {
  return namedSections.flatMap((section) => {
    const names = document[section].map((item) => item.name);
    return names.flatMap((item, index) =>
      names.indexOf(item) === index
        ? []
        : [{ place: `${source}: ${section}.${String(index)}.name`, message: `${item} is declared twice` }],
    );
  });
}

function referenceFindings(document: ConfigurationDocument, source: string): Finding[] {
  const dataCentres = new Set(document.dataCentres.map((item) => item.name));
  const models = new Set(document.models.map((item) => item.name));
  const services = new Set(document.services.map((item) => item.name));
  return document.servers.flatMap((item, index) => {
    const place = `${source}: servers.${String(index)}`;
    const declared = item.kind === RequestKind.Model ? models : services;
    const undeclared = item.serves.filter((served) => !declared.has(served));
    const findings = undeclared.map((served) => ({
      place: `${place}.serves`,
      message: `${item.kind} ${served} is not declared`,
    }));
    if (!dataCentres.has(item.dataCentre)) {
      findings.push({
        place: `${place}.dataCentre`,
        message: `data centre ${item.dataCentre} is not declared`,
      });
    }
    return findings;
  });
}

function floorFindings(document: ConfigurationDocument, source: string): Finding[] {
  const total = document.ranks.reduce((sum, item) => sum + item.floor, 0);
  return total <= 1
    ? []
    : [
        {
          place: `${source}: ranks`,
          message: `the sum of all floors is ${String(total)}, but must not exceed 1`,
        },
      ];
}

/**
 * Checks a configuration document: its schema, and if that matches, unique names in each section, references from
 * servers to models, services and data centres, and the sum of the floors.
 *
 * @param value - the parsed value
 * @param source - where the value was read from, such as a file name; the place of each finding starts with it
 * @returns the document, or all findings
 */
export function checkDocument(value: unknown, source: string): Result<ConfigurationDocument, Finding[]> {
  const checked = documentSchema.safeParse(value);
  if (!checked.success) {
    return err(findingsOf(checked.error.issues, source));
  }
  const document = checked.data;
  const findings = [
    ...duplicateFindings(document, source),
    ...referenceFindings(document, source),
    ...floorFindings(document, source),
  ];
  return findings.length === 0 ? ok(document) : err(findings);
}
