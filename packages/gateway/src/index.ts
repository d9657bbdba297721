/** An entry that forwards requests to backend servers directly, without a side beside each server. */
export * from './gateway.js';
export * from './listen-address.js';
export * from './pace-beginnings.js';
