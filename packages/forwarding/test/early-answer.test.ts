/** Answers that come while the request is still being sent, and break off: guards against passing the part on as a whole answer. */
import assert from 'node:assert/strict';
import { createServer, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { catalogue, paths, startTestGateway } from './support/gateway.js';
import { callAs, type CallerResult } from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

/** Longer than what the sockets of a connection buffer, so that the request is still being sent when it is answered. */
const UPLOAD = 'v'.repeat(3_000_000);
const EVENT = 'id: 1\ndata: token 1\n\n';

/** Sends a long request to a server that writes an answer, or part of one, when it has read the head of the request. */
async function upload(path: string, answerTo: (socket: Socket, head: string) => void): Promise<CallerResult> {
  let isReached = false;
  const server = createServer((socket) => {
    isReached = true;
    socket.on('error', () => undefined);
    open.push({ close: () => socket.destroy() });
    socket.once('data', (chunk) => {
      const id = /^request-id: .*$/im.exec(chunk.toString('latin1'))?.[0] ?? '';
      answerTo(socket, `${id}\r\nsignature: vane-1`);
    });
  });
  open.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = server.address();
  assert.ok(address !== null && typeof address !== 'string');
  const limits = { ...catalogue.limits, maxBodyBytes: UPLOAD.length };
  const gateway = await startTestGateway([address.port], { initialCatalogue: { ...catalogue, limits } });
  open.push(gateway);
  const answer = await callAs({ port: gateway.port, path, body: UPLOAD }).result;
  assert.ok(isReached, 'the request reached the server');
  return answer;
}

const frames: Readonly<Record<string, readonly [header: string, part: string]>> = {
  'no length': ['', EVENT],
  'a length': ['\r\ncontent-length: 100', EVENT],
  chunks: ['\r\ntransfer-encoding: chunked', `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`],
};

const endings: Readonly<Record<string, (socket: Socket, answer: string) => void>> = {
  'is reset at once': (socket, answer) => {
    socket.write(answer, () => socket.resetAndDestroy());
  },
  'is reset with the rest of the request unread': (socket, answer) => {
    socket.pause();
    socket.write(answer, () => setImmediate(() => socket.resetAndDestroy()));
  },
  'is reset when more of the request arrives': (socket, answer) => {
    socket.write(answer);
    socket.once('data', () => socket.resetAndDestroy());
  },
  'is closed with the rest of the request unread': (socket, answer) => {
    socket.pause();
    socket.write(answer, () => socket.destroy());
  },
};

describe('an answer to a request that is still being sent', () => {
  for (const [frame, [header, part]] of Object.entries(frames)) {
    for (const [ending, end] of Object.entries(endings)) {
      for (const path of Object.values(paths)) {
        it(`never looks complete if it has ${frame} and ${ending} (${path})`, async () => {
          const answer = await upload(path, (socket, head) => {
            end(socket, `HTTP/1.1 200 OK\r\n${head}${header}\r\n\r\n${part}`);
          });
          const looksComplete = answer.status === 200 && answer.isComplete;
          assert.equal(looksComplete, false, JSON.stringify(answer));
        });
      }
    }
  }

  for (const status of ['000', '001', '099', '20', '1000']) {
    for (const path of Object.values(paths)) {
      it(`does not reach the caller if its status is ${status} (${path})`, async () => {
        const answer = await upload(path, (socket, head) => {
          socket.end(
            `HTTP/1.1 ${status} Odd\r\n${head}\r\ncontent-length: ${String(EVENT.length)}\r\n\r\n${EVENT}`,
          );
        });
        assert.deepEqual([answer.status, answer.headers.signature], [502, undefined]);
        assert.equal(answer.isComplete, true);
      });
    }
  }
});
