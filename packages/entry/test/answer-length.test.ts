/**
 * The length of whole answers: the operating system closes the connections of an entry that ends in order, which would
 * complete an answer without a length, also one that was cut.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { Outcome, Rank, Reason, RequestKind } from '@toucanbend/core';
import { CompletionStyle, createBufferedAnswer, sendCallAnswer } from '@toucanbend/entry';

const servers: Server[] = [];

afterEach(() => {
  servers.splice(0).forEach((server) => server.close());
});

/** Returns the answer to a caller that speaks HTTP/1.0. */
async function read(answer: (response: ServerResponse) => void): Promise<{ head: string; body: string }> {
  const server = createServer((_request, response) => {
    answer(response);
  });
  servers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  let text = '';
  caller.on('data', (chunk: Buffer) => {
    text += chunk.toString('latin1');
  });
  caller.write('GET / HTTP/1.0\r\n\r\n');
  await once(caller, 'end');
  const [head = '', body = ''] = text.split(/\r\n\r\n(.*)/s);
  return { head, body };
}

const lengthOf = (head: string): number => Number(/^content-length: (\d+)$/im.exec(head)?.[1]);

const completion = {
  requestId: 'r1',
  kind: RequestKind.Model as const,
  target: 'model-a',
  account: 'patan',
  weight: 1,
  rank: Rank.Urgent,
  receivedAtMs: 0,
  deadlineAtMs: 1_000,
  firstTokenLimitMs: 100,
  body: Buffer.from('A quote for a copper vane.'),
  promptTokens: 8,
  maxTokens: 4,
  prefix: [],
};

describe('a whole answer of the entry', () => {
  it('has its length if a plain service gave it', async () => {
    const { head, body } = await read((response) => {
      const answer = { status: 200, contentType: 'text/plain', bytes: Buffer.from('two copper vanes') };
      sendCallAnswer(response, 'r1', answer);
    });
    assert.equal(body, 'two copper vanes');
    assert.equal(lengthOf(head), body.length);
  });

  it('has none if a plain service gave one without a body', async () => {
    const { head } = await read((response) => {
      sendCallAnswer(response, 'r1', { status: 204, contentType: 'text/plain', bytes: Buffer.alloc(0) });
    });
    assert.match(head, / 204 /);
    assert.doesNotMatch(head, /content-length/i);
  });

  it('has its length if it is a completion', async () => {
    const { head, body } = await read((response) => {
      const answer = createBufferedAnswer(response, completion, CompletionStyle.Text);
      answer.push(['copper', ' vane']);
      answer.end({ outcome: Outcome.Complete, reason: Reason.None, retryAfterMs: 0 });
    });
    assert.match(body, /copper vane/);
    assert.equal(lengthOf(head), body.length);
  });
});
