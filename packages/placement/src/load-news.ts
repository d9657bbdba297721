/** What entries tell one another about the load of backend servers, as flat lists that travel well. */
import { type EngineParameters } from '@toucanbend/engine-model';
import { z } from 'zod';
import { type Job } from './job.js';
import { type LoadBook } from './load-book.js';

/** The kinds of news. */
export enum NewsKind {
  Placed = 0,
  Ended = 1,
  /** A server failed a request in a way that speaks against it. */
  Failed = 2,
}

/** One piece of news. Times are relative, since clocks of hosts differ. */
export type LoadNews =
  | {
      readonly kind: NewsKind.Placed;
      readonly server: string;
      readonly job: Job;
      /** When the job was sent, in the reader's clock. */
      readonly atMs: number;
    }
  | { readonly kind: NewsKind.Ended; readonly server: string; readonly jobId: string }
  | { readonly kind: NewsKind.Failed; readonly server: string };

const milliseconds = z.number();
const placedShape = z.tuple([
  z.literal(NewsKind.Placed),
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.number(),
  milliseconds,
  milliseconds,
  milliseconds,
  milliseconds,
  milliseconds,
  z.number(),
]);
const endedShape = z.tuple([z.literal(NewsKind.Ended), z.string(), z.string()]);
const failedShape = z.tuple([z.literal(NewsKind.Failed), z.string()]);
const newsShape = z.union([placedShape, endedShape, failedShape]);

/**
 * Writes news as a flat list.
 *
 * @param news - the news
 * @param nowMs - now
 * @returns the list
 */
export function encodeNews(news: LoadNews, nowMs: number): unknown[] {
  switch (news.kind) {
    case NewsKind.Placed: {
      const { job, server } = news;
      return [
        news.kind,
        server,
        job.id,
        job.service,
        job.generation?.promptTokens ?? -1,
        Math.round(job.generation?.answerTokens ?? 0),
        job.rank,
        Math.round(nowMs - news.atMs),
        Math.round(nowMs - job.arrivedAtMs),
        job.targetMs,
        job.targetPauseMs,
        Math.round(job.deadlineAtMs - nowMs),
        job.generation?.wholeTokens ?? -1,
      ];
    }
    case NewsKind.Ended:
      return [news.kind, news.server, news.jobId];
    case NewsKind.Failed:
      return [news.kind, news.server];
  }
}

/**
 * Reads news.
 *
 * @param value - what another entry sent
 * @param nowMs - now
 * @returns the news, or undefined for something else
 */
export function decodeNews(value: unknown, nowMs: number): LoadNews | undefined {
  const parsed = newsShape.safeParse(value);
  if (!parsed.success) {
    return undefined;
  }
  const list = parsed.data;
  switch (list[0]) {
    case NewsKind.Ended:
      return { kind: NewsKind.Ended, server: list[1], jobId: list[2] };
    case NewsKind.Failed:
      return { kind: NewsKind.Failed, server: list[1] };
    case NewsKind.Placed: {
      const [
        ,
        server,
        id,
        service,
        promptTokens,
        answerTokens,
        rank,
        sentAgoMs,
        age,
        targetMs,
        targetPauseMs,
        leftMs,
        whole,
      ] = list;
      const job: Job = {
        id,
        service,
        generation:
          promptTokens < 0
            ? undefined
            : { promptTokens, answerTokens, wholeTokens: whole < 0 ? undefined : whole },
        rank,
        arrivedAtMs: nowMs - age,
        targetMs,
        targetPauseMs,
        deadlineAtMs: nowMs + leftMs,
      };
      return { kind: NewsKind.Placed, server, job, atMs: nowMs - sentAgoMs };
    }
  }
}

/**
 * Enters another entry's news into the load book.
 *
 * @param book - the load book
 * @param from - name of the entry
 * @param news - the news
 * @param engineOf - parameters of the engines of a service
 * @param nowMs - now
 */
export function applyNews(
  book: LoadBook,
  from: string,
  news: LoadNews,
  engineOf: (service: string) => EngineParameters | undefined,
  nowMs: number,
): void {
  switch (news.kind) {
    case NewsKind.Placed:
      book.placed(from, news.server, engineOf(news.job.service), news.job, news.atMs);
      break;
    case NewsKind.Ended:
      book.ended(news.server, news.jobId);
      break;
    case NewsKind.Failed:
      book.failed(news.server, nowMs);
      break;
  }
}
