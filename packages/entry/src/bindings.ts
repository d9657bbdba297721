/** Binds callers' idempotency keys to execution tokens by batched conditional writes to the store. */
import { createHash } from 'node:crypto';
import { type Clock } from '@toucanbend/core';
import { type ConditionalWrite, type KeyValueStore, type WriteOutcome } from '@toucanbend/store';
import { z } from 'zod';

const bindingSchema = z.object({
  token: z.string(),
  server: z.string(),
  bodyHash: z.string(),
});

/** The execution token, server and request hash to which an idempotency key is bound. */
export type Binding = z.infer<typeof bindingSchema>;

/** Kinds of results of binding a key. */
export enum BindResultKind {
  /** The key is bound to the given token. */
  Bound = 'ours',
  /** The key was already bound. */
  AlreadyBound = 'theirs',
  /** The store did not answer in time; the key may or may not be bound to the given token. */
  Unavailable = 'unavailable',
}

/** Result of binding a key. */
export type BindResult =
  | { readonly kind: BindResultKind.Bound; readonly modRevision: number }
  | { readonly kind: BindResultKind.AlreadyBound; readonly binding: Binding; readonly modRevision: number }
  | { readonly kind: BindResultKind.Unavailable };

/** A binding that was read from or written to the store, with its store revision. */
export interface KnownBinding {
  readonly binding: Binding;
  readonly modRevision: number;
}

/** Result of reading a key's binding; `answered` is false if the store failed or timed out. */
export type LookUpResult =
  { readonly answered: false } | { readonly answered: true; readonly found: KnownBinding | undefined };

/** Reads and writes bindings of idempotency keys. */
export interface Bindings {
  /** Returns a recently used binding from memory, so that a repeated call needs no store access. */
  cached(key: string): KnownBinding | undefined;
  /**
   * Reads the binding of a key.
   *
   * @param key - from {@link bindingKey}
   * @param timeoutMs - longest wait for the store, in milliseconds
   * @returns the binding if there is one, or that the store did not answer
   */
  lookUp(key: string, timeoutMs: number): Promise<LookUpResult>;
  /**
   * Binds a key unless it is already bound.
   *
   * @param key - from {@link bindingKey}
   * @param binding - token, server and request hash to bind the key to
   * @param expectedModRevision - store revision of the binding to replace; 0 if the key must be unbound
   * @param deadlineAtMs - time on the clock after which the result is {@link BindResultKind.Unavailable}
   * @returns whether the key is bound to the given token, to another one, or whether that is unknown
   */
  bind(key: string, binding: Binding, expectedModRevision: number, deadlineAtMs: number): Promise<BindResult>;
}

interface PendingWrite {
  readonly write: ConditionalWrite;
  readonly binding: Binding;
  readonly deadlineAtMs: number;
  readonly resolve: (result: BindResult) => void;
}

const BATCH_WINDOW_MS = 4;
const MAX_BATCH_SIZE = 64;
const RETRY_DELAY_MS = 100;
const MAX_CACHED_BINDINGS = 10_000;

/**
 * Returns the store key for a caller's idempotency key.
 *
 * The hash covers the account and the service, so equal keys of different accounts or services do not
 * collide.
 *
 * @param account - name of the client account
 * @param service - name of the plain service
 * @param idempotencyKey - the caller's key
 * @returns the store key
 */
export function bindingKey(account: string, service: string, idempotencyKey: string): string {
  const hash = createHash('sha256')
    .update(JSON.stringify([account, service, idempotencyKey]))
    .digest('hex');
  return `toucanbend/bindings/${hash}`;
}

/** Returns the result of a write, or undefined if the write has to be repeated. */
function bindResultOf(pending: PendingWrite, outcome: WriteOutcome): BindResult | undefined {
  if (outcome.applied) {
    return { kind: BindResultKind.Bound, modRevision: outcome.current?.modRevision ?? 0 };
  }
  if (outcome.current === undefined) {
    return undefined;
  }
  const { value, modRevision } = outcome.current;
  if (value === pending.write.value) {
    return { kind: BindResultKind.Bound, modRevision };
  }
  const binding = parseBinding(value);
  return binding === undefined ? undefined : { kind: BindResultKind.AlreadyBound, binding, modRevision };
}

function parseBinding(value: string): Binding | undefined {
  try {
    return bindingSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}

/**
 * Creates the bindings of an entry.
 *
 * A conditional write whose answer was lost is repeated: it either finds its own value in the store or takes
 * effect now, so a lost answer never binds a key twice.
 *
 * @param store - the key-value store
 * @param clock - schedules batches and retries, and checks deadlines
 * @param storeTimeoutMs - longest wait for one call of the store, in milliseconds
 * @returns the bindings
 */
export function createBindings(store: KeyValueStore, clock: Clock, storeTimeoutMs: number): Bindings {
  let pendingWrites: PendingWrite[] = [];
  let scheduled = false;
  const cached = new Map<string, KnownBinding>();

  const addToCache = (key: string, known: KnownBinding): void => {
    cached.delete(key);
    cached.set(key, known);
    const oldest = cached.keys().next();
    if (cached.size > MAX_CACHED_BINDINGS && oldest.done !== true) {
      cached.delete(oldest.value);
    }
  };

  const resolveWrite = (pending: PendingWrite, result: BindResult): void => {
    if (result.kind === BindResultKind.AlreadyBound) {
      addToCache(pending.write.key, result);
    } else if (result.kind === BindResultKind.Bound) {
      addToCache(pending.write.key, { binding: pending.binding, modRevision: result.modRevision });
    }
    pending.resolve(result);
  };

  const schedule = (delayMs: number): void => {
    if (!scheduled) {
      scheduled = true;
      clock.after(delayMs, () => {
        scheduled = false;
        void flush();
      });
    }
  };

  /** Resolves writes past their deadline as unavailable and returns the others. */
  const expireWrites = (pending: readonly PendingWrite[]): PendingWrite[] => {
    const expired = pending.filter((item) => clock.now() >= item.deadlineAtMs);
    expired.forEach((item) => {
      item.resolve({ kind: BindResultKind.Unavailable });
    });
    return pending.filter((item) => !expired.includes(item));
  };

  const flush = async (): Promise<void> => {
    const batch = expireWrites(pendingWrites.slice(0, MAX_BATCH_SIZE));
    pendingWrites = pendingWrites.slice(MAX_BATCH_SIZE);
    if (pendingWrites.length > 0) {
      schedule(0);
    }
    if (batch.length === 0) {
      return;
    }
    const timeLeftMs = Math.min(storeTimeoutMs, ...batch.map((item) => item.deadlineAtMs - clock.now()));
    const answer = await store.write(
      batch.map((item) => item.write),
      timeLeftMs,
    );
    const unresolved = batch.filter((item, index) => {
      const outcome = answer.isOk() ? answer.value[index] : undefined;
      const result = outcome === undefined ? undefined : bindResultOf(item, outcome);
      if (result !== undefined) {
        resolveWrite(item, result);
      }
      return result === undefined;
    });
    pendingWrites.push(...expireWrites(unresolved));
    if (pendingWrites.length > 0) {
      schedule(RETRY_DELAY_MS);
    }
  };

  return {
    cached: (key) => cached.get(key),
    lookUp: async (key, timeoutMs) => {
      const stored = await store.read(key, Math.min(storeTimeoutMs, timeoutMs));
      if (stored.isErr()) {
        return { answered: false };
      }
      const binding = stored.value === undefined ? undefined : parseBinding(stored.value.value);
      if (stored.value === undefined || binding === undefined) {
        return { answered: true, found: undefined };
      }
      const found = { binding, modRevision: stored.value.modRevision };
      addToCache(key, found);
      return { answered: true, found };
    },
    bind: (key, binding, expectedModRevision, deadlineAtMs) =>
      new Promise((resolve) => {
        const write = { key, value: JSON.stringify(binding), expectedModRevision };
        pendingWrites.push({ write, binding, deadlineAtMs, resolve });
        schedule(BATCH_WINDOW_MS);
      }),
  };
}
