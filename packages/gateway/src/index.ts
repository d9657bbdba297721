/** The entry that sends to backend servers directly. */
export * from './gateway.js';
export * from './listen-address.js';
