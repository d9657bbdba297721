/** The binary format of frames: a four-byte length, then a CBOR array of the type and the fields. */
import { Encoder } from 'cbor-x';
import { err, ok, type Result } from 'neverthrow';
import { type Frame, frameSchemas, FrameType } from './frame.js';

/** Default limit on the size of a frame body, in bytes. */
export const MAX_FRAME_BYTES = 2 * 1024 * 1024;
const LENGTH_BYTES = 4;

/** The kinds of frame decoding errors. */
export enum FrameErrorKind {
  TooLong = 'too_long',
  /** The body is not valid CBOR, or is not a CBOR array. */
  NotCbor = 'not_cbor',
  UnknownType = 'unknown_type',
  /** The fields do not match the schema of the frame type. */
  BadFields = 'bad_fields',
}

/** A frame decoding error. */
export interface FrameError {
  readonly kind: FrameErrorKind;
  readonly message: string;
}

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
const fieldNames = new Map<number, readonly string[]>(
  Object.entries(frameSchemas).map(([type, shape]) => [Number(type), Object.keys(shape.shape)]),
);

/**
 * Encodes a frame.
 *
 * @param frame - the frame
 * @returns the length prefix, followed by the body
 */
export function encodeFrame(frame: Frame): Buffer {
  const fields = frame as unknown as Readonly<Record<string, unknown>>;
  const names = fieldNames.get(frame.type) ?? [];
  const body = codec.encode([frame.type, ...names.map((field) => fields[field])]);
  const result = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  result.writeUInt32BE(body.length, 0);
  body.copy(result, LENGTH_BYTES);
  return result;
}

/**
 * Decodes the body of a frame.
 *
 * @param body - the bytes after the length prefix
 * @returns the frame, or the decoding error
 */
export function decodeFrame(body: Uint8Array): Result<Frame, FrameError> {
  let elements: unknown;
  try {
    elements = codec.decode(body);
  } catch (error) {
    return err({ kind: FrameErrorKind.NotCbor, message: String(error) });
  }
  if (!Array.isArray(elements)) {
    return err({ kind: FrameErrorKind.NotCbor, message: 'frame body is not a CBOR array' });
  }
  const type: unknown = elements[0];
  const names = typeof type === 'number' ? fieldNames.get(type) : undefined;
  if (names === undefined) {
    // An arbitrary value may not be convertible to a string.
    const shown = typeof type === 'number' ? String(type) : typeof type;
    return err({ kind: FrameErrorKind.UnknownType, message: `unknown frame type ${shown}` });
  }
  const fields = Object.fromEntries(names.map((field, index) => [field, elements[index + 1] as unknown]));
  const checked = frameSchemas[type as FrameType].safeParse(fields);
  if (!checked.success) {
    return err({ kind: FrameErrorKind.BadFields, message: checked.error.message });
  }
  return ok({ type, ...checked.data } as Frame);
}

/** Splits a byte stream into frames. */
export interface FrameDecoder {
  /**
   * Decodes the next bytes of the stream.
   *
   * @param chunk - the bytes
   * @returns the frames completed by these bytes, or the error; the decoder is unusable after an error
   */
  push(chunk: Uint8Array): Result<Frame[], FrameError>;
  /** Returns the buffered bytes of an incomplete frame. */
  remainder(): Uint8Array;
}

/**
 * Creates a decoder for one stream.
 *
 * @param maxFrameBytes - the largest frame body that is accepted, in bytes
 * @returns the decoder
 */
export function createFrameDecoder(maxFrameBytes = MAX_FRAME_BYTES): FrameDecoder {
  let chunks: Uint8Array[] = [];
  let bufferedBytes = 0;

  const joinChunks = (): Buffer => {
    const all = chunks.length === 1 ? Buffer.from(chunks[0] ?? new Uint8Array()) : Buffer.concat(chunks);
    chunks = [all];
    return all;
  };

  const neededBytes = (): number => {
    if (bufferedBytes < LENGTH_BYTES) {
      return LENGTH_BYTES;
    }
    const first = chunks[0];
    const head =
      first !== undefined && first.length >= LENGTH_BYTES
        ? Buffer.from(first.buffer, first.byteOffset, first.length)
        : joinChunks();
    return LENGTH_BYTES + head.readUInt32BE(0);
  };

  const decodeNextFrame = (length: number): Result<Frame, FrameError> => {
    const all = joinChunks();
    const rest = all.subarray(length);
    chunks = rest.length === 0 ? [] : [rest];
    bufferedBytes = rest.length;
    return decodeFrame(all.subarray(LENGTH_BYTES, length));
  };

  return {
    remainder: () => Buffer.concat(chunks),
    push: (chunk) => {
      chunks.push(chunk);
      bufferedBytes += chunk.length;
      const frames: Frame[] = [];
      for (let needed = neededBytes(); ; needed = neededBytes()) {
        if (needed - LENGTH_BYTES > maxFrameBytes) {
          return err({
            kind: FrameErrorKind.TooLong,
            message: `frame of ${String(needed)} bytes exceeds the size limit`,
          });
        }
        if (bufferedBytes < needed) {
          return ok(frames);
        }
        const frame = decodeNextFrame(needed);
        if (frame.isErr()) {
          return err(frame.error);
        }
        frames.push(frame.value);
      }
    },
  };
}
