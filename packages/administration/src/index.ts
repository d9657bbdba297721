/** The operators' HTTP interface of an entry. */
export * from './administration.js';
