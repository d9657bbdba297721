/** Decides whether a request is admitted, by the catalogue and the key that it carries. */
import { type Catalogue, findAccount, findRoute, type Route, type Service } from '@toucanbend/registry';
import { EndReason } from './caller-answer.js';
import { type CallerHead } from './dialect.js';

/** The route, service and rank of an admitted request, or the reason why it is rejected. */
type Admission =
  | { readonly rejected: EndReason }
  | {
      readonly rejected: undefined;
      readonly route: Route;
      readonly service: Service;
      readonly account: string | undefined;
      readonly rank: number;
    };

function pickService(catalogue: Catalogue, route: Route, fraction: number): Service | undefined {
  const totalWeight = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let rest = fraction * totalWeight;
  for (const target of route.targets) {
    rest -= target.weight;
    if (rest < 0) {
      return catalogue.services.find((service) => service.name === target.service);
    }
  }
  return undefined;
}

/**
 * Authenticates a request and finds its route in the catalogue.
 *
 * @param catalogue - the current catalogue; undefined if none is known yet
 * @param host - value of the `Host` header
 * @param path - path without the query
 * @param head - the decoded headers of the request
 * @param fraction - a random number from 0 to 1 that selects one of the route's services by weight
 * @returns the route, service, account and rank of the request, or the reason why it is rejected
 */
export function admitRequest(
  catalogue: Catalogue | undefined,
  host: string,
  path: string,
  head: CallerHead,
  fraction: number,
): Admission {
  if (catalogue === undefined) {
    return { rejected: EndReason.NoConfiguration };
  }
  const route = findRoute(catalogue, host.toLowerCase(), path);
  if (route === undefined) {
    return { rejected: EndReason.NoRoute };
  }
  const account = head.key === undefined ? undefined : findAccount(catalogue, head.key);
  const needsKey = catalogue.accounts.length > 0 && !route.isPublic;
  if (needsKey && account === undefined) {
    return { rejected: EndReason.BadKey };
  }
  if (head.requestId === '') {
    return { rejected: EndReason.BadRequest };
  }
  const service = pickService(catalogue, route, fraction);
  if (service === undefined) {
    return { rejected: EndReason.NoServer };
  }
  return {
    rejected: undefined,
    route,
    service,
    account: account?.name,
    rank: account?.rank ?? route.rank,
  };
}
