/** Writes log lines without ever blocking: what a slow reader cannot take is dropped and counted. */
import { createWriteStream, fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import { type Writable } from 'node:stream';

/** Takes lines of text. */
export interface LineOutput {
  write(line: string): void;
}

/** Bytes that may wait for the reader; some seconds of logs at full load. */
const MAX_WAITING_BYTES = 1024 * 1024;

function openDescriptor(descriptor: number): Writable {
  const kind = fstatSync(descriptor);
  return kind.isFIFO() || kind.isSocket()
    ? new Socket({ fd: descriptor, readable: false, writable: true })
    : createWriteStream('', { fd: descriptor, autoClose: false });
}

/**
 * Creates an output that drops lines while too much waits.
 *
 * @param descriptor - file descriptor of a pipe or a file
 * @returns the output
 */
export function createBoundedOutput(descriptor: number): LineOutput {
  const stream = openDescriptor(descriptor);
  let dropped = 0;
  stream.on('error', () => {
    dropped += 1;
  });
  return {
    write: (line) => {
      if (stream.writableLength > MAX_WAITING_BYTES) {
        dropped += 1;
        return;
      }
      if (dropped > 0) {
        stream.write(`${JSON.stringify({ level: 'warn', message: 'log lines dropped', dropped })}\n`);
        dropped = 0;
      }
      stream.write(`${line}\n`);
    },
  };
}
