/** Tests of the frame codec: frames survive a round trip, and arbitrary bytes never cause an exception. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Outcome, Rank, Reason, RequestKind } from '@toucanbend/core';
import { Encoder } from 'cbor-x';
import fc from 'fast-check';
import {
  createFrameDecoder,
  decodeFrame,
  encodeFrame,
  type Frame,
  FrameErrorKind,
  FrameType,
} from '../src/index.js';

const probe: Frame = {
  type: FrameType.Probe,
  probeId: 7,
  kind: RequestKind.Model,
  target: 'model-a',
  rank: Rank.Urgent,
  account: 'patan',
  weight: 1,
  promptTokens: 1_000,
  maxTokens: 100,
  firstTokenLimitMs: 1_100,
  prefix: [1, 2, 4_000_000_000],
  timeLeftMs: 5_000,
  mint: false,
};
const output: Frame = {
  type: FrameType.Output,
  requestId: 'r',
  attempt: 1,
  offset: 3,
  tokens: ['a', 'ü', ''],
};
const done: Frame = {
  type: FrameType.Done,
  requestId: 'r',
  attempt: 0,
  outcome: Outcome.Unknown,
  reason: Reason.ServerFailed,
  retryAfterMs: 0,
  tokens: 5,
};

for (const frame of [probe, output, done]) {
  test(`a frame of type ${FrameType[frame.type]} survives encoding and decoding`, () => {
    assert.deepEqual(createFrameDecoder().push(encodeFrame(frame))._unsafeUnwrap(), [frame]);
  });
}

test('frames are decoded however the stream is split into chunks', () => {
  const stream = Buffer.concat([probe, output, done].map(encodeFrame));
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 0, max: stream.length })), (cuts) => {
      const decoder = createFrameDecoder();
      const places = [0, ...cuts.sort((left, right) => left - right), stream.length];
      const frames = places
        .slice(1)
        .flatMap((end, index) => decoder.push(stream.subarray(places[index], end))._unsafeUnwrap());
      assert.deepEqual(frames, [probe, output, done]);
    }),
  );
});

test('decoding arbitrary bytes returns a frame or an error and never throws', () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      decodeFrame(bytes);
      createFrameDecoder().push(bytes);
    }),
    { numRuns: 2_000 },
  );
});

test('decoding a frame with one changed byte returns a frame or an error and never throws', () => {
  const bytes = encodeFrame(probe).subarray(4);
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: bytes.length - 1 }),
      fc.integer({ min: 0, max: 255 }),
      (place, value) => {
        const changed = Buffer.from(bytes);
        changed[place] = value;
        decodeFrame(changed);
      },
    ),
    { numRuns: 2_000 },
  );
});

test('decoding a frame with odd values returns a frame or an error and never throws', () => {
  const codec = new Encoder({ useRecords: false });
  const numericTypes = Object.values(FrameType).filter((type) => typeof type === 'number');
  const type = fc.oneof(fc.constantFrom<unknown>(...numericTypes), fc.anything({ withNullPrototype: true }));
  fc.assert(
    fc.property(fc.array(fc.anything(), { maxLength: 12 }), type, (fields, oddType) => {
      decodeFrame(codec.encode([oddType, ...fields]));
    }),
    { numRuns: 2_000, seed: 33 },
  );
  const oddTypes: readonly unknown[] = [
    { toString: 1, valueOf: 1 },
    { toString: null },
    [],
    null,
    1e308,
    Number.NaN,
    2n ** 80n,
  ];
  for (const oddType of oddTypes) {
    const result = decodeFrame(codec.encode([oddType]));
    assert.equal(result._unsafeUnwrapErr().kind, FrameErrorKind.UnknownType);
  }
});

test('a frame above the size limit is rejected before its body is buffered', () => {
  const result = createFrameDecoder(100).push(Buffer.from([0, 1, 0, 0]));
  assert.equal(result._unsafeUnwrapErr().kind, FrameErrorKind.TooLong);
});

test('an answer with a status that no caller can get is rejected', () => {
  const answer = (status: number): Frame => ({
    type: FrameType.Answer,
    requestId: 'r',
    attempt: 1,
    status,
    contentType: 'text/plain',
    bytes: new Uint8Array([1]),
  });
  for (const status of [0, 1, 99, 101, 199, 1_000]) {
    const decoded = decodeFrame(encodeFrame(answer(status)).subarray(4));
    assert.equal(decoded._unsafeUnwrapErr().kind, FrameErrorKind.BadFields, String(status));
  }
  assert.ok(decodeFrame(encodeFrame(answer(200)).subarray(4)).isOk());
});
