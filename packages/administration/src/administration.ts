/** The operators' HTTP interface of an entry, to read and change the configuration. */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { bearerKey, type Finding, hashKey } from '@toucanbend/core';
import {
  type ConfigurationDocument,
  type ConfigurationHolder,
  operatorOfKeyHash,
  parseDeclaration,
  printDocument,
} from '@toucanbend/configuration';
import { DecisionKind, type Logger } from '@toucanbend/observability';
import {
  type ChangeError,
  ChangeErrorKind,
  type ConfigurationClient,
  replaceDeclaration,
} from '@toucanbend/operator';
import { err, ok, type Result } from 'neverthrow';

/** Options of {@link createAdministrationHandler}. */
export interface AdministrationOptions {
  readonly operator: ConfigurationClient;
  readonly holder: ConfigurationHolder;
  readonly logger: Logger;
}

/** Handles an operator's request; returns false for a path that it does not handle. */
export type AdministrationHandler = (request: IncomingMessage, response: ServerResponse) => boolean;

/** An operator whose key is in the configuration. */
interface AuthenticatedOperator {
  readonly name: string;
  /** Whether the operator may change the configuration. */
  readonly write: boolean;
}

interface Rejection {
  readonly status: number;
  readonly findings: readonly Finding[];
}

const MAX_BODY_BYTES = 4 * 1024 * 1024;

const changeStatus: Readonly<Record<ChangeErrorKind, number>> = {
  [ChangeErrorKind.Refused]: 422,
  [ChangeErrorKind.StoreUnavailable]: 503,
  [ChangeErrorKind.Unknown]: 504,
};

function sendText(response: ServerResponse, status: number, contentType: string, text: string): void {
  response.writeHead(status, { 'content-type': contentType });
  response.end(text);
}

function sendJson(response: ServerResponse, status: number, value: object): void {
  sendText(response, status, 'application/json', `${JSON.stringify(value)}\n`);
}

function authenticateOperator(
  document: ConfigurationDocument,
  authorization: string | undefined,
): Result<AuthenticatedOperator, Rejection> {
  const hash = hashKey(bearerKey(authorization) ?? '');
  const known = operatorOfKeyHash(document.operators, hash);
  return known === undefined
    ? err({
        status: 401,
        findings: [{ place: 'header authorization', message: 'missing or unknown operator key' }],
      })
    : ok(known);
}

async function readText(request: IncomingMessage): Promise<Result<string, Rejection>> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > MAX_BODY_BYTES) {
      return err({ status: 413, findings: [{ place: 'body', message: 'exceeds the limit of 4 MiB' }] });
    }
    chunks.push(chunk);
  }
  return ok(Buffer.concat(chunks).toString('utf8'));
}

/**
 * Creates the handler of the operators' HTTP interface.
 *
 * `GET /configuration` returns the configuration in force as TOML, `GET /configuration/history` returns its
 * latest changes as JSON, and `PUT /configuration` replaces the declaration. An accepted declaration is in
 * force on this entry at once.
 *
 * @param options - the client of the stored configuration, the configuration in force and the logger
 * @returns the request handler
 */
export function createAdministrationHandler(options: AdministrationOptions): AdministrationHandler {
  const { operator, holder, logger } = options;

  const sendRejection = (response: ServerResponse, rejection: Rejection): void => {
    sendJson(response, rejection.status, { findings: rejection.findings });
  };

  const sendChangeError = (response: ServerResponse, error: ChangeError): void => {
    const { kind, findings, changeId } = error;
    sendJson(response, changeStatus[kind], { kind, findings, changeId });
  };

  const change = async (
    who: AuthenticatedOperator,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    if (!who.write) {
      sendRejection(response, {
        status: 403,
        findings: [{ place: 'operator', message: `${who.name} has read-only access` }],
      });
      return;
    }
    const why = request.headers['x-why'];
    if (typeof why !== 'string' || why === '') {
      sendRejection(response, {
        status: 400,
        findings: [{ place: 'header x-why', message: 'must state the reason for the change' }],
      });
      return;
    }
    const text = await readText(request);
    if (text.isErr()) {
      sendRejection(response, text.error);
      return;
    }
    const declaration = parseDeclaration(text.value, 'body');
    if (declaration.isErr()) {
      sendRejection(response, { status: 422, findings: declaration.error });
      return;
    }
    const accepted = await operator.change({ who: who.name, why }, replaceDeclaration(declaration.value));
    if (accepted.isErr()) {
      sendChangeError(response, accepted.error);
      return;
    }
    const { revision } = accepted.value;
    holder.offer(accepted.value);
    logger.decision({
      decision: DecisionKind.Configuration,
      request: '',
      fields: { revision, who: who.name, why },
    });
    sendJson(response, 200, { revision });
  };

  const answer = async (path: string, request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const who = authenticateOperator(holder.current(), request.headers.authorization);
    if (who.isErr()) {
      sendRejection(response, who.error);
    } else if (path === '/configuration/history' && request.method === 'GET') {
      sendJson(response, 200, holder.current().history);
    } else if (path === '/configuration' && request.method === 'GET') {
      sendText(response, 200, 'application/toml', printDocument(holder.current()));
    } else if (path === '/configuration' && request.method === 'PUT') {
      await change(who.value, request, response);
    } else {
      sendRejection(response, {
        status: 405,
        findings: [{ place: 'method', message: 'must be GET or PUT' }],
      });
    }
  };

  return (request, response) => {
    const path = request.url ?? '';
    if (!path.startsWith('/configuration')) {
      return false;
    }
    void answer(path, request, response).catch(() => response.destroy());
    return true;
  };
}
