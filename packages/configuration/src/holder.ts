/** The configuration in force at a node. */
import { type Finding } from '@toucanbend/core';
import { err, ok, type Result } from 'neverthrow';
import { checkDocument, type ConfigurationDocument, emptyDocument } from './document.js';
import { applyDifference, differenceOf, type DocumentDifference } from './difference.js';

/** The result of offering a document to a holder. */
export enum OfferResult {
  Applied = 'applied',
  AlreadyInForce = 'already_in_force',
  /** The document is older than the one in force and was rejected. */
  Older = 'older',
}

/** Holds the configuration in force. A document is replaced only by one with a higher revision. */
export interface ConfigurationHolder {
  current(): ConfigurationDocument;
  /** Returns whether a document has come into force since the holder was created. */
  isReady(): boolean;
  /**
   * Offers a whole document, which comes into force if it is the first one or newer than the current one.
   *
   * @param document - the document
   * @returns whether the document came into force
   */
  offer(document: ConfigurationDocument): OfferResult;
  /**
   * Returns the changes that bring a node from an older revision to the current one: a difference if the older
   * document is still retained, otherwise the whole document.
   *
   * @param revision - the revision in force at the other node
   * @returns the payload for {@link ConfigurationHolder.receive} and the revision that it starts from; 0 for a
   *   whole document
   */
  changesSince(revision: number): { readonly from: number; readonly payload: string };
  /**
   * Applies a document or a difference that another node sent. A difference that starts from another revision than
   * the one in force is ignored and reported as already in force.
   *
   * @param from - the revision that the difference starts from; 0 for a whole document
   * @param payload - the document or the difference, as JSON
   * @returns whether the document came into force, or findings if the payload is invalid
   */
  receive(from: number, payload: string): Result<OfferResult, Finding[]>;
  /** Registers a handler that is called with each document that comes into force. */
  onChange(handle: (document: ConfigurationDocument) => void): void;
}

/** Number of revisions before the current one from which a peer can be sent a difference. */
const RETAINED_REVISIONS = 16;

/**
 * Creates a holder without a document.
 *
 * @returns the holder
 */
export function createConfigurationHolder(): ConfigurationHolder {
  let current = emptyDocument;
  let ready = false;
  const earlierDocuments = new Map<number, ConfigurationDocument>();
  const handlers: ((document: ConfigurationDocument) => void)[] = [];

  const offer = (document: ConfigurationDocument): OfferResult => {
    if (ready && document.revision === current.revision) {
      return OfferResult.AlreadyInForce;
    }
    if (ready && document.revision < current.revision) {
      return OfferResult.Older;
    }
    if (ready) {
      earlierDocuments.set(current.revision, current);
      earlierDocuments.delete(current.revision - RETAINED_REVISIONS);
    }
    current = document;
    ready = true;
    handlers.forEach((handle) => {
      handle(document);
    });
    return OfferResult.Applied;
  };

  const receive = (from: number, payload: string): Result<OfferResult, Finding[]> => {
    const place = 'peer';
    let value: unknown;
    try {
      value = JSON.parse(payload);
    } catch (error) {
      return err([{ place, message: String(error) }]);
    }
    if (from === 0) {
      return checkDocument(value, place).map(offer);
    }
    if (from !== current.revision) {
      return ok(OfferResult.AlreadyInForce);
    }
    const document = applyDifference(current, value as DocumentDifference);
    return document === undefined
      ? err([
          {
            place,
            message: 'the difference cannot be applied to the document in force, or the result is invalid',
          },
        ])
      : ok(offer(document));
  };

  return {
    current: () => current,
    isReady: () => ready,
    offer,
    receive,
    changesSince: (revision) => {
      const base = earlierDocuments.get(revision);
      return base === undefined
        ? { from: 0, payload: JSON.stringify(current) }
        : { from: revision, payload: JSON.stringify(differenceOf(base, current)) };
    },
    onChange: (handle) => {
      handlers.push(handle);
    },
  };
}
