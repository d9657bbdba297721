/** Non-blocking log output. Lines that a slow reader does not consume in time are dropped and counted. */
import { createWriteStream, fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import { type Writable } from 'node:stream';

/** A destination of lines of text. */
export interface LineOutput {
  write(line: string): void;
}

/** Limit on the unwritten data in bytes; enough for a few seconds of logs at full load. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

function createDescriptorStream(descriptor: number): Writable {
  const kind = fstatSync(descriptor);
  return kind.isFIFO() || kind.isSocket()
    ? new Socket({ fd: descriptor, readable: false, writable: true })
    : createWriteStream('', { fd: descriptor, autoClose: false });
}

/**
 * Creates an output that drops lines while more than 1 MiB is unwritten. The next line that is written is preceded by a
 * warning with the number of dropped lines.
 *
 * @param descriptor - file descriptor of a pipe, a socket or a file
 * @returns the output
 */
export function createBoundedOutput(descriptor: number): LineOutput {
  const stream = createDescriptorStream(descriptor);
  let dropped = 0;
  stream.on('error', () => {
    dropped += 1;
  });
  return {
    write: (line) => {
      if (stream.writableLength > MAX_BUFFERED_BYTES) {
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
