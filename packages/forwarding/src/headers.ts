/** Separates hop-by-hop headers from those that are forwarded. */
import { type IncomingHttpHeaders } from 'node:http';
import { type RawHeaders } from './dialect.js';

/** Headers that are never forwarded (RFC 9110, section 7.6.1), and those that the sender sets itself. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
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
 * Removes the hop-by-hop headers, including those that the `Connection` header names.
 *
 * @param rawHeaders - headers as received
 * @param headers - the same headers by name
 * @returns the end-to-end headers
 */
export function endToEndHeaders(rawHeaders: RawHeaders, headers: IncomingHttpHeaders): string[] {
  const named = namedByConnection(headers);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lowerCase = name.toLowerCase();
    if (!HOP_BY_HOP_HEADERS.has(lowerCase) && !named.has(lowerCase)) {
      kept.push(name, rawHeaders[index + 1] ?? '');
    }
  }
  return kept;
}

/**
 * Groups headers by name, in the form that Node's HTTP functions accept.
 *
 * @param rawHeaders - names at even indices, values at odd ones
 * @returns values by name; an array if a name occurs more than once
 */
export function headersByName(rawHeaders: RawHeaders): Record<string, string | string[]> {
  // Without a prototype, a header may have the name of one of its properties, such as constructor.
  const byName = Object.create(null) as Record<string, string | string[]>;
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const value = rawHeaders[index + 1] ?? '';
    const earlier = byName[name];
    byName[name] = earlier === undefined ? value : [earlier, value].flat();
  }
  return byName;
}
