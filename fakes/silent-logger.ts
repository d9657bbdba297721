/** A logger that drops its lines. */
import { type Logger } from '@toucanbend/observability';

const ignore = (): void => undefined;

/** A logger that drops its lines. */
export const silentLogger: Logger = {
  decision: ignore,
  info: ignore,
  warn: ignore,
  error: ignore,
  explain: () => [],
};
