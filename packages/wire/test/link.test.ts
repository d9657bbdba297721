/** Tests of links: only peers with a valid key are accepted, and an active link ends when its peer times out. */
import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, test } from 'node:test';
import { createSystemClock } from '@toucanbend/core';
import {
  createLinkPool,
  createLinkTraffic,
  defaultLinkSettings,
  dial,
  encodeFrame,
  type EndpointOptions,
  FrameType,
  type Link,
  LinkEnd,
  LinkErrorKind,
  listenForLinks,
  NodeRole,
} from '../src/index.js';

const KEY = 'the-peer-key-of-tests';
const open: (Server | Link)[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => item.close());
});

function endpoint(node: string, peerKeys: readonly string[]): EndpointOptions {
  return {
    identity: { node, role: NodeRole.Side, dataCentre: 'dc-1', incarnation: `${node}-run`, peerKeys },
    clock: createSystemClock(),
    settings: { ...defaultLinkSettings, handshakeTimeoutMs: 300, pingIntervalMs: 20, dialledSilenceMs: 100 },
    traffic: createLinkTraffic(),
  };
}

async function listen(keys: readonly string[], accept: (link: Link) => void): Promise<number> {
  const server = await listenForLinks({ host: '127.0.0.1', port: 0 }, endpoint('listener', keys), (link) => {
    open.push(link);
    accept(link);
  });
  open.push(server);
  return (server.address() as AddressInfo).port;
}

test('peers with a common key open a link that identifies each end to the other', async () => {
  const accepted = new Promise<Link>((resolve) => {
    void listen([KEY], resolve).then(async (port) => {
      const link = (await dial({ host: '127.0.0.1', port }, endpoint('dialler', [KEY])))._unsafeUnwrap();
      open.push(link);
      assert.equal(link.peer.incarnation, 'listener-run');
    });
  });
  assert.equal((await accepted).peer.node, 'dialler');
});

test('during a key rotation the old and the new key are both valid', async () => {
  const port = await listen(['a-newer-peer-key', KEY], () => undefined);
  const link = await dial({ host: '127.0.0.1', port }, endpoint('dialler', [KEY, 'a-newer-peer-key']));
  open.push(link._unsafeUnwrap());
});

test('a peer with a wrong key gets no link at either end', async () => {
  let accepted = 0;
  const port = await listen([KEY], () => (accepted += 1));
  const link = await dial({ host: '127.0.0.1', port }, endpoint('dialler', ['a-wrong-peer-key']));
  assert.ok(link.isErr());
  assert.equal(accepted, 0);
});

test('an address that cannot be dialled prevents the link, and ends no process', async () => {
  const links = createLinkPool(endpoint('dialler', [KEY]), () => undefined);
  for (const address of [
    '127.0.0.1:99999',
    '127.0.0.1:-1',
    '127.0.0.1:1e22',
    '127.0.0.1',
    '127.0.0.1:',
    '',
  ]) {
    const link = await links.get(address);
    assert.ok(link.isErr(), address);
    assert.equal(link.error.kind, LinkErrorKind.Unreachable);
  }
});

test('a replayed handshake is rejected', async () => {
  let accepted = 0;
  const port = await listen([KEY], () => (accepted += 1));
  const recorded: Buffer[] = [];
  const recordingProxy = createServer((socket) => {
    const target = connect(port, '127.0.0.1');
    socket.on('data', (chunk) => {
      recorded.push(chunk);
      target.write(chunk);
    });
    target.pipe(socket);
    socket.on('close', () => target.destroy());
    socket.on('error', () => undefined);
    target.on('error', () => undefined);
  });
  open.push(recordingProxy);
  await new Promise<void>((resolve) => recordingProxy.listen(0, '127.0.0.1', resolve));
  const proxyPort = (recordingProxy.address() as AddressInfo).port;
  open.push((await dial({ host: '127.0.0.1', port: proxyPort }, endpoint('dialler', [KEY])))._unsafeUnwrap());
  assert.equal(accepted, 1);
  const replayed = connect(port, '127.0.0.1');
  const closed = new Promise((resolve) => replayed.once('close', resolve));
  replayed.on('error', () => undefined);
  replayed.write(Buffer.concat(recorded));
  replayed.resume();
  await closed;
  assert.equal(accepted, 1);
});

test('a connection that sends nothing is closed after the handshake timeout', async () => {
  const port = await listen([KEY], () => undefined);
  const socket: Socket = connect(port, '127.0.0.1');
  socket.resume();
  await new Promise((resolve) => socket.once('close', resolve));
});

test('bytes that do not decode to a frame close the connection', async () => {
  const port = await listen([KEY], () => undefined);
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.resume();
  const closed = new Promise((resolve) => socket.once('close', resolve));
  socket.write(Buffer.from('GET / HTTP/1.1\r\n\r\n'));
  await closed;
});

test('a connection whose first frame is not a Hello is closed', async () => {
  const port = await listen([KEY], () => undefined);
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.resume();
  const closed = new Promise((resolve) => socket.once('close', resolve));
  socket.write(encodeFrame({ type: FrameType.Draining, node: 'x', leaving: true }));
  await closed;
});

test('an active link ends with a timeout when no more data arrives from the peer', async () => {
  const links: Link[] = [];
  const port = await listen([KEY], (link) => links.push(link));
  let isDroppingData = false;
  const droppingProxy = createServer((socket) => {
    const target = connect(port, '127.0.0.1');
    const forward = (from: Socket, to: Socket): void => {
      from.on('data', (chunk) => {
        if (!isDroppingData) {
          to.write(chunk);
        }
      });
      from.on('close', () => to.destroy());
      from.on('error', () => undefined);
    };
    forward(socket, target);
    forward(target, socket);
  });
  open.push(droppingProxy);
  await new Promise<void>((resolve) => droppingProxy.listen(0, '127.0.0.1', resolve));
  const proxyPort = (droppingProxy.address() as AddressInfo).port;
  const link = (
    await dial({ host: '127.0.0.1', port: proxyPort }, endpoint('dialler', [KEY]))
  )._unsafeUnwrap();
  open.push(link);
  link.setActive(true);
  isDroppingData = true;
  const end = await new Promise((resolve) => {
    link.onEnd(resolve);
  });
  assert.equal(end, LinkEnd.TimedOut);
});
