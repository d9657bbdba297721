/** Client of the key-value service's HTTP gateway: range, txn and watch, with keys and values in base64. */
import { Agent, request } from 'node:http';
import { type Clock, createByteBuffer } from '@toucanbend/core';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import {
  type ConditionalWrite,
  type KeyValueStore,
  type StoredValue,
  type StoreError,
  StoreErrorKind,
  type WriteOutcome,
} from './key-value-store.js';

const WATCH_RETRY_MS = 500;
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

const gatewayValue = z.object({
  key: z.string(),
  value: z.string().default(''),
  mod_revision: z.coerce.number(),
});
const rangeResponse = z.object({ kvs: z.array(gatewayValue).default([]) });
const txnResponse = z.object({
  responses: z
    .array(
      z.object({
        response_txn: z.object({
          succeeded: z.boolean().default(false),
          responses: z.array(z.object({ response_range: rangeResponse.optional() })).default([]),
        }),
      }),
    )
    .default([]),
});
const watchResponse = z.object({
  result: z.object({ events: z.array(z.object({ kv: gatewayValue })).default([]) }),
});

const toBase64 = (text: string): string => Buffer.from(text).toString('base64');
const fromBase64 = (text: string): string => Buffer.from(text, 'base64').toString();

function toStoredValue(value: z.infer<typeof gatewayValue>): StoredValue {
  return { key: fromBase64(value.key), value: fromBase64(value.value), modRevision: value.mod_revision };
}

/** Calls the key-value service through its HTTP gateway. */
export class HttpKeyValueStore implements KeyValueStore {
  readonly #base: URL;
  readonly #clock: Clock;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 8 });

  /**
   * @param address - `IP:PORT` of the gateway
   * @param clock - measures time-outs
   */
  constructor(address: string, clock: Clock) {
    this.#base = new URL(`http://${address}`);
    this.#clock = clock;
  }

  async read(key: string, timeoutMs: number): Promise<Result<StoredValue | undefined, StoreError>> {
    const response = await this.#call('/v3/kv/range', { key: toBase64(key) }, timeoutMs);
    return response.andThen((value) => {
      const checked = rangeResponse.safeParse(value);
      const first = checked.data?.kvs[0];
      return checked.success ? ok(first && toStoredValue(first)) : err(malformedResponse());
    });
  }

  async write(
    writes: readonly ConditionalWrite[],
    timeoutMs: number,
  ): Promise<Result<WriteOutcome[], StoreError>> {
    const response = await this.#call('/v3/kv/txn', { success: writes.map(toNestedTransaction) }, timeoutMs);
    return response.andThen((value) => {
      const checked = txnResponse.safeParse(value);
      return checked.success ? ok(checked.data.responses.map(toWriteOutcome)) : err(malformedResponse());
    });
  }

  watch(key: string, handle: (value: StoredValue) => void): () => void {
    let stopped = false;
    let cancel: () => void = () => undefined;
    const open = (): void => {
      const call = request(new URL('/v3/watch', this.#base), { method: 'POST' }, (response) => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => {
          text += chunk;
          const lines = text.split('\n');
          text = lines.pop() ?? '';
          lines.flatMap(watchedValues).forEach(handle);
          if (text.length > MAX_RESPONSE_BYTES) {
            call.destroy();
          }
        });
      });
      call.on('error', () => undefined);
      call.on('close', () => {
        if (!stopped) {
          cancel = this.#clock.after(WATCH_RETRY_MS, open);
        }
      });
      call.end(JSON.stringify({ create_request: { key: toBase64(key) } }));
      cancel = () => {
        call.destroy();
      };
    };
    open();
    return () => {
      stopped = true;
      cancel();
    };
  }

  #call(path: string, body: object, timeoutMs: number): Promise<Result<unknown, StoreError>> {
    return new Promise((resolve) => {
      const call = request(new URL(path, this.#base), { method: 'POST', agent: this.#agent }, (response) => {
        const received = createByteBuffer();
        response.on('data', (chunk: Buffer) => {
          if (received.length() + chunk.length > MAX_RESPONSE_BYTES) {
            call.destroy();
          } else {
            received.add(chunk);
          }
        });
        response.on('end', () => {
          finish(parseResponse(response.statusCode ?? 0, received.bytes().toString()));
        });
        response.on('error', () => {
          finish(
            err({
              kind: StoreErrorKind.ResponseLost,
              message: 'the response is incomplete',
            }),
          );
        });
      });
      const finish = (result: Result<unknown, StoreError>): void => {
        cancelTimer();
        resolve(result);
      };
      const cancelTimer = this.#clock.after(timeoutMs, () => {
        call.destroy();
        finish(
          err({ kind: StoreErrorKind.ResponseLost, message: `no response within ${String(timeoutMs)} ms` }),
        );
      });
      call.on('error', (error: NodeJS.ErrnoException) => {
        const kind = error.code === 'ECONNREFUSED' ? StoreErrorKind.Unavailable : StoreErrorKind.ResponseLost;
        finish(err({ kind, message: error.message }));
      });
      call.end(JSON.stringify(body));
    });
  }
}

function malformedResponse(): StoreError {
  return { kind: StoreErrorKind.ResponseLost, message: 'the response is malformed' };
}

function parseResponse(status: number, text: string): Result<unknown, StoreError> {
  if (status === 503) {
    return err({ kind: StoreErrorKind.Unavailable, message: 'the store is unavailable' });
  }
  try {
    return status === 200
      ? ok(JSON.parse(text) as unknown)
      : err({ kind: StoreErrorKind.ResponseLost, message: `status ${String(status)}` });
  } catch {
    return err(malformedResponse());
  }
}

function watchedValues(line: string): StoredValue[] {
  try {
    const checked = watchResponse.safeParse(JSON.parse(line));
    return checked.success ? checked.data.result.events.map((event) => toStoredValue(event.kv)) : [];
  } catch {
    return [];
  }
}

/** Builds a transaction that writes the value if the key has the expected revision, and otherwise reads the key. */
function toNestedTransaction(write: ConditionalWrite): object {
  const key = toBase64(write.key);
  return {
    request_txn: {
      compare: [{ key, target: 'MOD', result: 'EQUAL', mod_revision: write.expectedModRevision }],
      success: [{ request_put: { key, value: toBase64(write.value) } }],
      failure: [{ request_range: { key } }],
    },
  };
}

function toWriteOutcome(response: z.infer<typeof txnResponse>['responses'][number]): WriteOutcome {
  const { succeeded, responses } = response.response_txn;
  const current = responses[0]?.response_range?.kvs[0];
  return { applied: succeeded, current: current && toStoredValue(current) };
}
