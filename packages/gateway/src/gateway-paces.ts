/** The paces of servers as a gateway keeps them: they begin with changes of the registry. */
import { type RegistryHolder } from '@toucanbend/membership';
import { createServerPaces, type PacesOptions, type ServerPaces } from '@toucanbend/pace';
import { equalsOf, paceBeginnings, PaceMode } from './pace-beginnings.js';

/** Dependencies and settings of the paces of a gateway. */
export interface GatewayPacesOptions extends Pick<PacesOptions, 'clock' | 'logger' | 'broadcast'> {
  readonly mode: PaceMode;
  readonly holder: Pick<RegistryHolder, 'current' | 'onChange'>;
}

/**
 * Creates the paces of a gateway.
 *
 * @param options - dependencies and settings
 * @returns the paces; undefined if they are switched off
 */
export function createGatewayPaces(options: GatewayPacesOptions): ServerPaces | undefined {
  const { mode, holder } = options;
  if (mode === PaceMode.Off) {
    return undefined;
  }
  const paces = createServerPaces({ ...options, equalsOf: (id) => equalsOf(holder.current(), id, mode) });
  holder.onChange((after, before) => {
    paceBeginnings(after, before).forEach(({ server, cause }) => {
      paces.begin(server, cause);
    });
  });
  return paces;
}
