/**
 * Checks a valid document for entries that have no effect or contradict each other. Such a document can be applied: nodes serve what it
 * allows, which is less than its author meant.
 */
import { type Finding, RequestKind } from '@toucanbend/core';
import { type ConfigurationDocument } from './document.js';
import { accountsByKeyHash, isNonIdempotentCall, operatorOfKeyHash, rankLimits } from './matching.js';

type Check = (document: ConfigurationDocument) => readonly Finding[];

/** Finds accounts that no request can use, and keys that belong to another account. */
const checkAccounts: Check = ({ accounts, ranks }) => {
  const byKeyHash = accountsByKeyHash(accounts);
  const declaredRanks = new Set(ranks.map(({ name }) => name));
  return accounts.flatMap((account, index) => {
    const place = `accounts.${String(index)}`;
    const findings: Finding[] = account.keyHashes.flatMap((hash, keyIndex) => {
      const owner = byKeyHash.get(hash);
      return owner === account || owner === undefined
        ? []
        : [
            {
              place: `${place}.keyHashes.${String(keyIndex)}`,
              message: `${account.name} never gets this key, which account ${owner.name} lists after it`,
            },
          ];
    });
    if (account.keyHashes.length === 0 && !account.closed) {
      findings.push({
        place: `${place}.keyHashes`,
        message: `no request can use ${account.name}: it has no key`,
      });
    }
    if (!declaredRanks.has(account.defaultRank)) {
      const { deadlineMs, firstTokenTargetMs } = rankLimits(ranks, account.defaultRank);
      findings.push({
        place: `${place}.defaultRank`,
        message:
          `rank ${account.defaultRank} of ${account.name} is not declared; its requests get a target of ` +
          `${String(firstTokenTargetMs)} ms and a deadline of ${String(deadlineMs)} ms`,
      });
    }
    return findings;
  });
};

/** Finds operators who cannot change anything, and keys that belong to another operator. */
const checkOperators: Check = ({ operators }) => {
  const findings: Finding[] = operators.flatMap((operator, index) =>
    operator.keyHashes.flatMap((hash, keyIndex) => {
      const owner = operatorOfKeyHash(operators, hash);
      return owner === operator || owner === undefined
        ? []
        : [
            {
              place: `operators.${String(index)}.keyHashes.${String(keyIndex)}`,
              message: `${operator.name} never gets this key, which operator ${owner.name} lists before`,
            },
          ];
    }),
  );
  const mayChange = operators.some(({ write, keyHashes }) => write && keyHashes.length > 0);
  return operators.length === 0 || mayChange
    ? findings
    : [
        ...findings,
        {
          place: 'operators',
          message: 'no operator with a key may change the configuration through an entry',
        },
      ];
};

/** Finds targets that no request can meet, and floors that leave nothing to other ranks. */
const checkRanks: Check = ({ ranks }) => {
  const findings: Finding[] = ranks.flatMap(({ name, firstTokenTargetMs, deadlineMs }, index) =>
    firstTokenTargetMs <= deadlineMs
      ? []
      : [
          {
            place: `ranks.${String(index)}.firstTokenTargetMs`,
            message:
              `requests of rank ${name} end at their deadline of ${String(deadlineMs)} ms, before their target of ` +
              `${String(firstTokenTargetMs)} ms`,
          },
        ],
  );
  const total = ranks.reduce((sum, { floor }) => sum + floor, 0);
  const withoutFloor = ranks.filter(({ floor }) => floor === 0).map(({ name }) => name);
  return total < 1 || withoutFloor.length === 0
    ? findings
    : [
        ...findings,
        {
          place: 'ranks',
          message: `the floors of other ranks add up to ${String(total)} and leave no share to ${withoutFloor.join(', ')}`,
        },
      ];
};

/** Finds models, services and data centres that have no servers, and calls that no request can be. */
const checkTargets: Check = ({ models, services, dataCentres, servers }) => {
  const servedBy = (kind: RequestKind): ReadonlySet<string> =>
    new Set(servers.filter((server) => server.kind === kind).flatMap(({ serves }) => serves));
  const servedModels = servedBy(RequestKind.Model);
  const servedServices = servedBy(RequestKind.Service);
  const used = new Set(servers.map(({ dataCentre }) => dataCentre));
  const unserved = (
    section: string,
    items: readonly { readonly name: string }[],
    served: ReadonlySet<string>,
  ): Finding[] =>
    items.flatMap(({ name }, index) =>
      served.has(name)
        ? []
        : [{ place: `${section}.${String(index)}`, message: `no server is declared for ${name}` }],
    );
  const calls = services.flatMap((service, index) =>
    service.nonIdempotent.flatMap((call, callIndex) => {
      const [method = '', path = ''] = call.split(/ (.*)/s);
      return isNonIdempotentCall(service, method, path)
        ? []
        : [
            {
              place: `services.${String(index)}.nonIdempotent.${String(callIndex)}`,
              message: `no call matches ${call}, since the query of a call is not compared`,
            },
          ];
    }),
  );
  return [
    ...unserved('models', models, servedModels),
    ...unserved('services', services, servedServices),
    ...unserved('dataCentres', dataCentres, used),
    ...calls,
  ];
};

/** Finds servers that share an address, of which only one can listen, and hosts in two data centres. */
const checkServers: Check = ({ servers }) =>
  servers.flatMap((server, index) => {
    const before = servers.slice(0, index);
    const place = `servers.${String(index)}`;
    const sameAddress = before.find(
      ({ address, name }) => address === server.address && name !== server.name,
    );
    const sameHost = before.find(
      ({ host, dataCentre }) => host === server.host && dataCentre !== server.dataCentre,
    );
    const findings: Finding[] = [];
    if (sameAddress !== undefined && sameAddress.host !== server.host) {
      findings.push({
        place: `${place}.address`,
        message: `${server.name} on ${server.host} has the address ${server.address} of ${sameAddress.name} on ${sameAddress.host}`,
      });
    }
    if (sameHost !== undefined) {
      findings.push({
        place: `${place}.dataCentre`,
        message: `host ${server.host} stands in ${server.dataCentre} here and in ${sameHost.dataCentre} for ${sameHost.name}`,
      });
    }
    return findings;
  });

const checks: readonly Check[] = [checkAccounts, checkRanks, checkTargets, checkServers, checkOperators];

/**
 * Finds entries of a valid document that have no effect or contradict each other.
 *
 * @param document - the document
 * @param source - where it was read from, such as a file name; the place of each finding starts with it
 * @returns all findings
 */
export function findInconsistencies(document: ConfigurationDocument, source: string): Finding[] {
  return checks
    .flatMap((check) => check(document))
    .map(({ place, message }) => ({ place: `${source}: ${place}`, message }));
}
