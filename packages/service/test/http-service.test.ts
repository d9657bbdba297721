/** Answers of services that break off or have an invalid status: guards against reporting them as the answer to the call. */
import assert from 'node:assert/strict';
import { type AddressInfo, createServer, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { type Result } from 'neverthrow';
import { HttpPlainService, type ServiceAnswer, type ServiceError } from '@toucanbend/service';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

/** Longer than what the sockets of a connection buffer, so that the call is still being sent when it is answered. */
const UPLOAD = Buffer.alloc(8_000_000, 'v');
const PART = 'half of a va';

/** Calls a service that handles the connection of the call as the test says, once part of the call has arrived. */
async function callTo(
  handle: (socket: Socket) => void,
  body: Uint8Array,
): Promise<Result<ServiceAnswer, ServiceError>> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    open.push({ close: () => socket.destroy() });
    socket.once('data', () => {
      handle(socket);
    });
  });
  open.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const service = new HttpPlainService(`127.0.0.1:${String((server.address() as AddressInfo).port)}`);
  const call = { method: 'POST', path: '/orders', contentType: 'text/plain' };
  return service.call(call as Parameters<HttpPlainService['call']>[0], 'r1', body).answer;
}

const frames: Readonly<Record<string, string>> = {
  'no length': '',
  'a length': 'content-length: 100\r\n',
  chunks: 'transfer-encoding: chunked\r\n',
};

const endings: Readonly<Record<string, (socket: Socket, answer: string) => void>> = {
  'at once': (socket, answer) => {
    socket.write(answer, () => socket.resetAndDestroy());
  },
  'while the rest of the call is unread': (socket, answer) => {
    socket.pause();
    socket.write(answer, () => setImmediate(() => socket.resetAndDestroy()));
  },
  'after reading more of the call': (socket, answer) => {
    socket.write(answer);
    socket.once('data', () => socket.resetAndDestroy());
  },
};

describe('an answer whose connection is reset', () => {
  for (const [frame, header] of Object.entries(frames)) {
    for (const [when, reset] of Object.entries(endings)) {
      it(`is lost, with ${frame}, reset ${when}`, async () => {
        const text = frame === 'chunks' ? `64\r\n${PART}` : PART;
        const answer = await callTo((socket) => {
          reset(socket, `HTTP/1.1 200 OK\r\n${header}\r\n${text}`);
        }, UPLOAD);
        assert.equal(answer.isErr(), true, JSON.stringify(answer));
      });
    }
  }

  it('is lost if it has no length and the whole call was read', async () => {
    const answer = await callTo((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n\r\n${PART}`, () => socket.resetAndDestroy());
    }, Buffer.from('an order'));
    assert.equal(answer.isErr(), true, JSON.stringify(answer));
  });
});

describe('an answer that ends in order', () => {
  for (const [frame, header, text] of [
    ['no length', '', 'a vane'],
    ['a length', 'content-length: 6\r\n', 'a vane'],
    ['chunks', 'transfer-encoding: chunked\r\n', '6\r\na vane\r\n0\r\n\r\n'],
  ] as const) {
    it(`is complete, with ${frame}`, async () => {
      const answer = await callTo((socket) => {
        socket.end(`HTTP/1.1 200 OK\r\n${header}\r\n${text}`);
      }, Buffer.from('an order'));
      assert.equal(Buffer.from(answer._unsafeUnwrap().body).toString(), 'a vane');
    });
  }
});

describe('an answer with an odd status', () => {
  const callWith = (status: string): ReturnType<typeof callTo> =>
    callTo(
      (socket) => socket.end(`HTTP/1.1 ${status} Odd\r\ncontent-length: 6\r\n\r\na vane`),
      Buffer.from('an order'),
    );
  for (const status of ['000', '001', '099', '101', '199', '20', '1000']) {
    it(`is lost if no answer has it: ${status}`, async () => {
      const answer = await callWith(status);
      assert.equal(answer.isErr(), true, JSON.stringify(answer));
    });
  }

  it('is returned unchanged if it has three digits', async () => {
    for (const status of [226, 418, 599, 999]) {
      assert.equal((await callWith(String(status)))._unsafeUnwrap().status, status);
    }
  });
});
