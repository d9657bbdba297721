/** Which requests are one request that was sent again, and which are not. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { digestRequest, type RequestContent } from '@toucanbend/quarantine';

const content: RequestContent = {
  account: 'workshop',
  method: 'POST',
  host: 'vanes.example',
  path: '/orders/7?page=2',
  body: Buffer.from('body'),
};

describe('the digest of a request', () => {
  it('is the same for the same account, method, host, path and body', () => {
    assert.equal(digestRequest({ ...content, host: 'Vanes.Example' }), digestRequest(content));
  });

  const others: Readonly<Record<string, Partial<RequestContent>>> = {
    'another account': { account: 'atelier' },
    'no account': { account: undefined },
    'an account named null': { account: 'null' },
    'another method': { method: 'PUT' },
    'another host': { host: 'roosters.example' },
    'another query': { path: '/orders/7?page=3' },
    'another body': { body: Buffer.from('Body') },
    'a body that continues the path': { path: '/orders/7', body: Buffer.from('?page=2body') },
  };
  for (const [name, changed] of Object.entries(others)) {
    it(`differs for ${name}`, () => {
      assert.notEqual(digestRequest({ ...content, ...changed }), digestRequest(content));
    });
  }
});
