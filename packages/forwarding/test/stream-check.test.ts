/** What a server may send as a stream: events in order, no more of them than the caller asked for, and some comments. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createEventSplitter, createStreamCheck } from '@toucanbend/forwarding';

/** Returns the first fault of a stream, and the number of sound events before it. */
function firstFault(text: string, answerTokens?: number): { events: number; fault: string | undefined } {
  const check = createStreamCheck(answerTokens);
  let events = 0;
  for (const event of createEventSplitter().push(Buffer.from(text))) {
    const fault = check.next(event);
    if (fault !== undefined) {
      return { events, fault };
    }
    events += event.isComment ? 0 : 1;
  }
  return { events, fault: undefined };
}

const event = (id: number | string): string => `id: ${String(id)}\ndata: copper\n\n`;
const eventsUpTo = (last: number): string =>
  Array.from({ length: last }, (_, index) => event(index + 1)).join('');

describe('the check of a stream', () => {
  const sound: Readonly<Record<string, string>> = {
    'ids in order': eventsUpTo(40),
    'ids with gaps': event(3) + event(7) + event(900),
    'carriage returns': 'id: 1\r\ndata: copper\r\n\r\nid: 2\r\ndata: vane\r\n\r\n',
    'other lines before the id': 'weight-versions: 3\nid: 1\ndata: copper\n\n',
    'lines of data after the id': 'id: 1\ndata: copper\ndata: vane\n\n',
    'an event without data': 'id: 1\n\nid: 2\n\n',
    'comments between events': `: sound\n\n${event(1)}:\n\n${event(2)}:\n\n`,
    'a field that is no event before the first one': `retry: 3000\n\n${event(1)}`,
    'empty lines between events': `${event(1)}\n\n${event(2)}`,
  };
  for (const [name, text] of Object.entries(sound)) {
    it(`accepts ${name}`, () => {
      assert.equal(firstFault(text, 100).fault, undefined);
    });
  }

  const faulty: Readonly<Record<string, string>> = {
    'a block that is no event': 'copper\n\n',
    'an event without an id': 'data: copper\n\n',
    'an id that is no number': event('vane'),
    'an id on the next line': 'id:\n7\ndata: copper\n\n',
    'an id beyond exact numbers': event('9'.repeat(16)),
    'a block of another field': 'retry: soon\n\n',
    'a repeated id': event(1),
    'an earlier id': event(0),
  };
  for (const [name, text] of Object.entries(faulty)) {
    it(`finds ${name}, after the sound events`, () => {
      const { events, fault } = firstFault(event(1) + text, 100);
      assert.equal(events, 1);
      assert.notEqual(fault, undefined);
    });
  }

  it('accepts one event for each token that was asked for, and rejects many more', () => {
    assert.equal(firstFault(eventsUpTo(100), 100).fault, undefined);
    assert.match(firstFault(eventsUpTo(200), 100).fault ?? '', /^more than 116 events$/);
    assert.equal(firstFault(eventsUpTo(200)).fault, undefined);
  });

  it('limits the bytes by the tokens that were asked for', () => {
    const long = (id: number): string => `id: ${String(id)}\ndata: ${'c'.repeat(500_000)}\n\n`;
    assert.equal(firstFault(long(1) + long(2), 1).fault, undefined);
    assert.match(firstFault(long(1) + long(2) + long(3), 1).fault ?? '', /^events of 15\d{5} bytes$/);
    assert.equal(firstFault(long(1) + long(2) + long(3), 1_000).fault, undefined);
  });

  it('limits the comments between two events', () => {
    const comments = ': copper\n\n'.repeat(1_000);
    assert.equal(firstFault(comments + event(1) + comments + event(2)).fault, undefined);
    assert.match(firstFault(comments + comments).fault ?? '', /^comments of 16\d{3} bytes without an event$/);
  });

  it('limits an event that has no end', () => {
    const check = createStreamCheck(undefined);
    assert.equal(check.pending(1_000_000), undefined);
    assert.notEqual(check.pending(2_000_000), undefined);
  });
});
