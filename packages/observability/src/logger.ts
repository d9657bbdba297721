/** Structured logs: one JSON object a line, or readable lines on a terminal. */
import { createConsola, type LogObject } from 'consola';
import { type LineOutput } from './output.js';

/** What a decision line is about. */
export enum DecisionKind {
  Route = 'route',
  Bid = 'bid',
  Admit = 'admit',
  Dispatch = 'dispatch',
  Finish = 'finish',
  Retry = 'retry',
  Bind = 'bind',
  Answer = 'answer',
  Configuration = 'configuration',
  Leave = 'leave',
  Link = 'link',
  Memory = 'memory',
}

/** A value in a log line. */
export type LogValue =
  string | number | boolean | readonly LogValue[] | { readonly [field: string]: LogValue };

/** A decision, as it is logged and kept. */
export interface DecisionLine {
  readonly decision: DecisionKind;
  /** The request that the decision is about; empty where it is about none. */
  readonly request: string;
  readonly fields: Readonly<Record<string, LogValue>>;
}

/** Takes log lines. */
export interface Logger {
  /** Logs a decision and keeps it for `explain`. */
  decision(line: DecisionLine): void;
  info(message: string, fields?: Readonly<Record<string, LogValue>>): void;
  warn(message: string, fields?: Readonly<Record<string, LogValue>>): void;
  error(message: string, fields?: Readonly<Record<string, LogValue>>): void;
  /** Gives the kept decisions on a request, in order. */
  explain(request: string): readonly DecisionLine[];
}

/** Names of the log levels in the settings, and consola's numbers. */
const levels = { error: 0, warn: 1, info: 3, debug: 4 } as const;

/** The name of a log level. */
export type LogLevel = keyof typeof levels;

/** Options of a logger. */
export interface LoggerOptions {
  readonly node: string;
  readonly level: LogLevel;
  readonly keptDecisions: number;
  /** Where lines go; standard error where it is left out. */
  readonly output?: LineOutput | undefined;
}

const standardError: LineOutput = {
  write: (line) => {
    process.stderr.write(`${line}\n`);
  },
};

function writeJson(node: string, output: LineOutput, line: LogObject): void {
  const [message, fields] = line.args as [string, object | undefined];
  const text = JSON.stringify({ at: line.date.toISOString(), level: line.type, node, message, ...fields });
  output.write(text);
}

/**
 * Creates a logger.
 *
 * @param options - name of the node, least level, and how many decisions are kept
 * @returns the logger
 */
export function createLogger(options: LoggerOptions): Logger {
  const base = { level: levels[options.level] };
  const consola =
    process.stderr.isTTY && options.output === undefined
      ? createConsola(base)
      : createConsola({
          ...base,
          reporters: [
            {
              log: (line) => {
                writeJson(options.node, options.output ?? standardError, line);
              },
            },
          ],
        });
  const kept: DecisionLine[] = [];
  let next = 0;
  return {
    decision: (line) => {
      if (options.keptDecisions > 0) {
        kept[next % options.keptDecisions] = line;
        next += 1;
      }
      consola.info(line.decision, { request: line.request, ...line.fields });
    },
    info: (message, fields) => {
      consola.info(message, fields);
    },
    warn: (message, fields) => {
      consola.warn(message, fields);
    },
    error: (message, fields) => {
      consola.error(message, fields);
    },
    explain: (request) => {
      const start = next > kept.length ? next % kept.length : 0;
      return [...kept.slice(start), ...kept.slice(0, start)].filter((line) => line.request === request);
    },
  };
}
