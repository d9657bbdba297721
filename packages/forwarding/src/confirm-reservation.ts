/**
 * Checks an attempt again after its memory has been reserved, which can take some tenths of a second.
 *
 * Handles a data centre that is evacuated meanwhile: the request would still be sent there, or its prompt be read there in part.
 */
import { type Helper } from '@toucanbend/placement';
import { type BackendServer, evacuatedDataCentres, type Registry } from '@toucanbend/registry';
import { type MemoryError, OrderFailure } from './memory.js';
import { ReleaseCause } from './part-reservation.js';
import { type Reservation } from './reservation.js';

/**
 * Confirms a reservation if none of its servers has been evacuated; else releases it.
 *
 * @param registry - the current registry
 * @param reserved - the reservation, or the errors of the servers that did not confirm it
 * @param server - the server that gets the request
 * @param helpers - the servers that prefill parts of the prompt
 * @returns the reservation, or the reasons not to send the request
 */
export function confirmReservation(
  registry: Registry,
  reserved: Reservation | readonly MemoryError[],
  server: BackendServer,
  helpers: readonly Helper[],
): Reservation | readonly MemoryError[] {
  const evacuated = evacuatedDataCentres(registry);
  if (evacuated.size === 0 || !('release' in reserved)) {
    return reserved;
  }
  const members = [server, ...helpers.map((helper) => helper.server)];
  const errors = members
    .filter(({ dataCentre }) => evacuated.has(dataCentre))
    .map(({ id, dataCentre }) => ({
      server: id,
      failure: OrderFailure.NotSent,
      message: `data centre ${dataCentre} is evacuated`,
    }));
  if (errors.length === 0) {
    return reserved;
  }
  reserved.release(ReleaseCause.Evacuated);
  return errors;
}
