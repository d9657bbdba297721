/**
 * Load updates, by which entries inform one another about the load of backend servers, and their compact encoding as
 * flat arrays.
 */
import { clamp, MAX_RELATIVE_MS } from '@toucanbend/core';
import { type EngineParameters, PartRole, type PromptPart } from '@toucanbend/engine-model';
import { type ServerRestrictions } from '@toucanbend/restrictions';
import { z } from 'zod';
import { type Job } from './job.js';
import { type RunningJob } from './load-snapshot.js';
import { type LoadTracker } from './load-tracker.js';
import { type EngineReport, unattributedLoad } from './unattributed-load.js';

export enum LoadUpdateKind {
  Placed = 0,
  Ended = 1,
  /** A server failed a request in a way that indicates a fault of the server. */
  Failed = 2,
  /** A job that was placed before the receiver was linked, with its progress. */
  Running = 3,
  /** What an engine reports about its load; each receiver subtracts the jobs that it knows. */
  Reported = 4,
}

/** A load update. Its encoded times are relative to the time of encoding, since the clocks of hosts differ. */
export type LoadUpdate =
  | {
      readonly kind: LoadUpdateKind.Placed;
      readonly server: string;
      readonly job: Job;
      /** Time at which the job was sent, by the clock of this process. */
      readonly atMs: number;
    }
  | { readonly kind: LoadUpdateKind.Ended; readonly server: string; readonly jobId: string }
  | { readonly kind: LoadUpdateKind.Failed; readonly server: string }
  | ({ readonly kind: LoadUpdateKind.Running; readonly server: string } & RunningJob)
  | {
      readonly kind: LoadUpdateKind.Reported;
      readonly server: string;
      readonly service: string;
      readonly report: EngineReport;
      /** Time that the report describes, by the clock of this process. */
      readonly asOfMs: number;
    };

/** Maximum number of tokens of a prompt or an answer; several times the memory of an engine. */
const MAX_TOKENS = 10_000_000;
/** Encoded number of tokens of a job without a prompt, or without parts. */
const NO_TOKENS = -1;
/**
 * Longest time since a job was sent, in milliseconds. Updates leave within milliseconds; the engine model simulates every
 * pass since that time.
 */
const MAX_SENT_AGO_MS = 60_000;
/** Longest time until the parts of a prompt are prefilled, in milliseconds; the model of a leader waits for it. */
const MAX_READY_IN_MS = 60_000;
/** Ranks are stated by operators; their order matters, their size does not. */
const MAX_RANK = 1_000_000;

const number = z.number();
const placedSchema = z.tuple([
  z.literal(LoadUpdateKind.Placed),
  z.string(),
  z.string(),
  z.string(),
  number,
  number,
  number,
  number,
  number,
  number,
  number,
  number,
  number,
  z.enum(PartRole).optional(),
  number.optional(),
]);
const endedSchema = z.tuple([z.literal(LoadUpdateKind.Ended), z.string(), z.string()]);
const failedSchema = z.tuple([z.literal(LoadUpdateKind.Failed), z.string()]);
const runningSchema = z.tuple([z.literal(LoadUpdateKind.Running), number, number, placedSchema]);
const reportedSchema = z.tuple([
  z.literal(LoadUpdateKind.Reported),
  z.string(),
  z.string(),
  number,
  number,
  number,
]);
const updateSchema = z.union([placedSchema, endedSchema, failedSchema, runningSchema, reportedSchema]);

/** Limits a time relative to the present, in milliseconds. */
function clampRelative(value: number): number {
  return clamp(value, -MAX_RELATIVE_MS, MAX_RELATIVE_MS);
}

function encodePart(part: PromptPart | undefined, nowMs: number): number[] {
  return part === undefined ? [] : [part.role, Math.round(part.readyAtMs - nowMs)];
}

function encodePlaced(server: string, job: Job, atMs: number, nowMs: number): unknown[] {
  return [
    LoadUpdateKind.Placed,
    server,
    job.id,
    job.service,
    job.generation?.promptTokens ?? NO_TOKENS,
    Math.round(job.generation?.answerTokens ?? 0),
    job.rank,
    Math.round(nowMs - atMs),
    Math.round(nowMs - job.arrivedAtMs),
    job.targetMs,
    job.targetPauseMs,
    Math.round(job.deadlineAtMs - nowMs),
    job.generation?.part?.wholeTokens ?? NO_TOKENS,
    ...encodePart(job.generation?.part, nowMs),
  ];
}

/**
 * Encodes a load update as a flat array.
 *
 * @param update - the update to encode
 * @param nowMs - the current time, in milliseconds, to which encoded times are relative
 * @returns an array of numbers and strings whose first element is the kind of update
 */
export function encodeLoadUpdate(update: LoadUpdate, nowMs: number): unknown[] {
  switch (update.kind) {
    case LoadUpdateKind.Placed:
      return encodePlaced(update.server, update.job, update.atMs, nowMs);
    case LoadUpdateKind.Ended:
      return [update.kind, update.server, update.jobId];
    case LoadUpdateKind.Failed:
      return [update.kind, update.server];
    case LoadUpdateKind.Running: {
      const { kind, server, job, prefilledTokens, generatedTokens } = update;
      return [kind, prefilledTokens, generatedTokens, encodePlaced(server, job, nowMs, nowMs)];
    }
    case LoadUpdateKind.Reported: {
      const { kind, server, service, report, asOfMs } = update;
      return [
        kind,
        server,
        service,
        report.requests,
        Math.round(report.usedTokens),
        Math.round(nowMs - asOfMs),
      ];
    }
  }
}

/** Decodes the fields of a placed job. */
function decodePlaced(
  fields: z.infer<typeof placedSchema>,
  nowMs: number,
): { readonly server: string; readonly job: Job; readonly atMs: number } {
  const [
    ,
    server,
    id,
    service,
    promptTokens,
    answerTokens,
    rank,
    sentAgoMs,
    ageMs,
    targetMs,
    targetPauseMs,
    timeLeftMs,
    wholeTokens,
    role = PartRole.LeaderOfHolders,
    readyInMs = 0,
  ] = fields;
  const readyAtMs = nowMs + clamp(readyInMs, -MAX_RELATIVE_MS, MAX_READY_IN_MS);
  const part =
    wholeTokens < 0 ? undefined : { role, wholeTokens: Math.min(wholeTokens, MAX_TOKENS), readyAtMs };
  const job: Job = {
    id,
    service,
    generation:
      promptTokens < 0
        ? undefined
        : {
            promptTokens: Math.min(promptTokens, MAX_TOKENS),
            answerTokens: clamp(answerTokens, 0, MAX_TOKENS),
            part,
          },
    rank: clamp(rank, -MAX_RANK, MAX_RANK),
    arrivedAtMs: nowMs - clamp(ageMs, 0, MAX_RELATIVE_MS),
    targetMs: clampRelative(targetMs),
    targetPauseMs: clampRelative(targetPauseMs),
    deadlineAtMs: nowMs + clampRelative(timeLeftMs),
  };
  return { server, job, atMs: nowMs - clamp(sentAgoMs, 0, MAX_SENT_AGO_MS) };
}

/**
 * Decodes a load update.
 *
 * @param value - a value received from another entry
 * @param nowMs - the current time, in milliseconds, to which encoded times are relative
 * @returns the update, or undefined if the value is not a valid update
 */
export function decodeLoadUpdate(value: unknown, nowMs: number): LoadUpdate | undefined {
  const parsed = updateSchema.safeParse(value);
  if (!parsed.success) {
    return undefined;
  }
  const fields = parsed.data;
  switch (fields[0]) {
    case LoadUpdateKind.Ended:
      return { kind: LoadUpdateKind.Ended, server: fields[1], jobId: fields[2] };
    case LoadUpdateKind.Failed:
      return { kind: LoadUpdateKind.Failed, server: fields[1] };
    case LoadUpdateKind.Placed:
      return { kind: LoadUpdateKind.Placed, ...decodePlaced(fields, nowMs) };
    case LoadUpdateKind.Running: {
      const [kind, prefilledTokens, generatedTokens, placed] = fields;
      const { server, job } = decodePlaced(placed, nowMs);
      return {
        kind,
        server,
        job,
        prefilledTokens: clamp(prefilledTokens, 0, MAX_TOKENS),
        generatedTokens: clamp(generatedTokens, 0, MAX_TOKENS),
      };
    }
    case LoadUpdateKind.Reported: {
      const [kind, server, service, requests, usedTokens, ageMs] = fields;
      return {
        kind,
        server,
        service,
        report: { requests: Math.max(0, Math.round(requests)), usedTokens: clamp(usedTokens, 0, MAX_TOKENS) },
        asOfMs: nowMs - clamp(ageMs, 0, MAX_SENT_AGO_MS),
      };
    }
  }
}

/**
 * Records a load update of another entry.
 *
 * @param tracker - the load tracker to change
 * @param restrictions - counts the requests of the other entry
 * @param sender - name of the entry that sent the update
 * @param update - the received update
 * @param engineOf - returns the parameters of a service's engines, or undefined for plain services
 * @param nowMs - the current time, in milliseconds
 */
export function applyLoadUpdate(
  tracker: LoadTracker,
  restrictions: Pick<ServerRestrictions, 'countRequest'>,
  sender: string,
  update: LoadUpdate,
  engineOf: (service: string) => EngineParameters | undefined,
  nowMs: number,
): void {
  switch (update.kind) {
    case LoadUpdateKind.Placed:
      tracker.placed(sender, update.server, engineOf(update.job.service), update.job, update.atMs);
      restrictions.countRequest(update.server, update.atMs);
      break;
    case LoadUpdateKind.Ended:
      tracker.ended(update.server, update.jobId);
      break;
    case LoadUpdateKind.Failed:
      tracker.failed(update.server, nowMs);
      break;
    case LoadUpdateKind.Running:
      tracker.resumed(sender, update.server, engineOf(update.job.service), update, nowMs);
      break;
    case LoadUpdateKind.Reported: {
      const { server, service, report, asOfMs } = update;
      const load = unattributedLoad(report, tracker.load(server), asOfMs);
      tracker.unattributed(server, engineOf(service), load, nowMs);
      break;
    }
  }
}
