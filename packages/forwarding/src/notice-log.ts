/** Logs what backend servers state in their answers about the requests that they accept. */
import { type Logger } from '@toucanbend/observability';
import { type BackendServer } from '@toucanbend/registry';
import { type ServerNotice, UNLIMITED } from '@toucanbend/restrictions';

/**
 * Logs the statements of one answer; an answer without any is not logged.
 *
 * @param logger - receives the lines
 * @param request - id of the request that was answered
 * @param server - the server that answered
 * @param notice - what it states
 */
export function logNotice(
  logger: Logger,
  request: string,
  server: BackendServer,
  notice: ServerNotice,
): void {
  const { limitPerSecond, isLeaving, backOffMs, invalid } = notice;
  if ((limitPerSecond ?? UNLIMITED) !== UNLIMITED || isLeaving || backOffMs !== undefined) {
    logger.info('server notice', {
      request,
      server: server.id,
      limitPerSecond: limitPerSecond === undefined || limitPerSecond === UNLIMITED ? 'none' : limitPerSecond,
      isLeaving,
      backOffMs: backOffMs ?? 0,
    });
  }
  if (invalid.length > 0) {
    logger.warn('server notice invalid, ignored', { request, server: server.id, invalid });
  }
}
