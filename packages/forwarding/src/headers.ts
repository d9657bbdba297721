/** Headers that concern one connection only. */
import { type IncomingHttpHeaders } from 'node:http';
import { type RawHeaders } from './dialect.js';

/** Names of headers that are never passed on (RFC 9110, section 7.6.1), and those that the sender sets itself. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

function namedByConnection(headers: IncomingHttpHeaders): Set<string> {
  const named = (headers.connection ?? '').split(',').map((name) => name.trim().toLowerCase());
  return new Set(named.filter((name) => name !== ''));
}

/**
 * Leaves out the headers that concern one connection only.
 *
 * @param rawHeaders - headers as received
 * @param headers - the same headers by name
 * @returns the headers that are passed on
 */
export function endToEndHeaders(rawHeaders: RawHeaders, headers: IncomingHttpHeaders): string[] {
  const named = namedByConnection(headers);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lowerCase = name.toLowerCase();
    if (!CONNECTION_HEADERS.has(lowerCase) && !named.has(lowerCase)) {
      kept.push(name, rawHeaders[index + 1] ?? '');
    }
  }
  return kept;
}

/**
 * Collects headers by name, as Node's HTTP functions take them.
 *
 * @param rawHeaders - names at even places, values at odd ones
 * @returns values by name; several values of one name as a list
 */
export function headersByName(rawHeaders: RawHeaders): Record<string, string | string[]> {
  const byName: Record<string, string | string[]> = {};
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const value = rawHeaders[index + 1] ?? '';
    const earlier = byName[name];
    byName[name] = earlier === undefined ? value : [earlier, value].flat();
  }
  return byName;
}
