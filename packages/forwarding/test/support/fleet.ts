/** Several entries that send one another their updates. */
import { startTestGateway, type TestGateway, type TestGatewayOptions } from './gateway.js';

/**
 * Starts entries in front of the same backend servers.
 *
 * @param count - number of entries
 * @param ports - ports of the backend servers
 * @param options - deviations from the defaults, for all entries
 * @returns the entries, when they listen
 */
export async function startFleet(
  count: number,
  ports: readonly number[],
  options: TestGatewayOptions = {},
): Promise<readonly TestGateway[]> {
  const fleet: TestGateway[] = [];
  for (let index = 0; index < count; index += 1) {
    const entry = `entry-${String(index + 1)}`;
    const others = (): TestGateway[] => fleet.filter((_, other) => other !== index);
    const gateway = await startTestGateway(ports, {
      ...options,
      entry,
      entries: count,
      onRestriction: (update) => {
        others().forEach((other) => {
          other.receiveRestriction(update);
        });
      },
      onUpdate: (update) => {
        others().forEach((other) => {
          other.receive(entry, update);
        });
      },
    });
    fleet.push(gateway);
  }
  return fleet;
}
