/** Structured logging: one JSON object per line, or human-readable lines on a terminal. */
import { createConsola, type LogObject } from 'consola';
import { type LineOutput } from './output.js';

/** The kinds of logged decisions. */
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

/** A field value in a log line. */
export type LogValue =
  string | number | boolean | readonly LogValue[] | { readonly [field: string]: LogValue };

/** A decision, as it is logged and retained for `explain`. */
export interface DecisionLine {
  readonly decision: DecisionKind;
  /** Id of the request that the decision concerns; empty if it concerns none. */
  readonly request: string;
  readonly fields: Readonly<Record<string, LogValue>>;
}

/** Writes log lines and retains recent decisions. */
export interface Logger {
  /** Logs a decision and retains it for `explain`. */
  decision(line: DecisionLine): void;
  info(message: string, fields?: Readonly<Record<string, LogValue>>): void;
  warn(message: string, fields?: Readonly<Record<string, LogValue>>): void;
  error(message: string, fields?: Readonly<Record<string, LogValue>>): void;
  /** Returns the retained decisions on a request, oldest first. */
  explain(request: string): readonly DecisionLine[];
}

/** Maps the log levels of the settings to consola's numeric levels. */
const levels = { error: 0, warn: 1, info: 3, debug: 4 } as const;

export type LogLevel = keyof typeof levels;

/** Options of a logger. */
export interface LoggerOptions {
  readonly node: string;
  readonly level: LogLevel;
  /** Number of recent decisions to retain for `explain`; 0 to retain none. */
  readonly keptDecisions: number;
  /** Destination of the log lines; standard error by default. */
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
 * @param options - name of the node, minimum level, number of retained decisions, and output
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
  const retained: DecisionLine[] = [];
  let next = 0;
  return {
    decision: (line) => {
      if (options.keptDecisions > 0) {
        retained[next % options.keptDecisions] = line;
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
      const start = next > retained.length ? next % retained.length : 0;
      return [...retained.slice(start), ...retained.slice(0, start)].filter(
        (line) => line.request === request,
      );
    },
  };
}
