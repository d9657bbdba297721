/** Execution tokens: in every interleaving a token runs at most once, and a voided token never runs. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  createExecutionTable,
  expireTokens,
  finishToken,
  mintToken,
  retractToken,
  submitToken,
  SubmitVerdict,
  voidToken,
} from '../src/index.js';

const LIFETIME_MS = 10;

/** Operations on the tokens of one side, in arbitrary order and number. */
const step = fc.oneof(
  fc.constant({ kind: 'mint' } as const),
  fc.record({ kind: fc.constantFrom('submit', 'void', 'finish', 'retract'), token: fc.nat({ max: 4 }) }),
  fc.record({ kind: fc.constant('pass' as const), byMs: fc.nat({ max: 12 }) }),
  fc.constant({ kind: 'expire' } as const),
);

test('a token runs at most once, and never after it was reported void', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      let table = createExecutionTable('run-1');
      let nowMs = 0;
      const tokens: string[] = [];
      const runs = new Map<string, number>();
      const voided = new Set<string>();
      for (const next of steps) {
        const token = 'token' in next ? (tokens[next.token] ?? 'another-run/1') : '';
        switch (next.kind) {
          case 'mint': {
            const minted = mintToken(table, nowMs + LIFETIME_MS);
            table = minted.table;
            tokens.push(minted.value);
            break;
          }
          case 'submit': {
            const decided = submitToken(table, token, nowMs);
            table = decided.table;
            if (decided.value === SubmitVerdict.Run) {
              runs.set(token, (runs.get(token) ?? 0) + 1);
              assert.ok(!voided.has(token), 'a voided token ran');
            }
            if (decided.value === SubmitVerdict.Void) {
              voided.add(token);
            }
            break;
          }
          case 'void':
            table = voidToken(table, token, nowMs);
            break;
          case 'finish':
            if (runs.has(token)) {
              table = finishToken(table, token, nowMs + LIFETIME_MS);
            }
            break;
          case 'retract':
            table = retractToken(table, token, nowMs);
            break;
          case 'pass':
            nowMs += next.byMs;
            break;
          case 'expire':
            table = expireTokens(table, nowMs).table;
            break;
        }
        assert.ok(
          [...runs.values()].every((count) => count === 1),
          'a token ran twice',
        );
      }
    }),
    { numRuns: 3_000 },
  );
});

test('a token of another process is reported unknown, neither run nor void', () => {
  const decided = submitToken(createExecutionTable('run-2'), 'run-1/1', 0);
  assert.equal(decided.value, SubmitVerdict.Unknown);
});

test('a token that is submitted after it expired is void', () => {
  const minted = mintToken(createExecutionTable('run-1'), LIFETIME_MS);
  assert.equal(submitToken(minted.table, minted.value, LIFETIME_MS).value, SubmitVerdict.Void);
});
