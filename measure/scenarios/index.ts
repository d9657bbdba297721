/** Registers the scenarios. */
import { type Scenario } from '../scenario.js';
import { chaos } from './chaos.js';
import { configurationSpread } from './configuration-spread.js';
import { confirmations } from './confirmations.js';
import { controlCost } from './control-cost.js';
import { engineDeaths, slowLinks, storeOutage } from './failures.js';
import { lowRankFlood, urgentFlood } from './floods.js';
import { largeCallers } from './large-callers.js';
import { mixedLengths } from './mixed-lengths.js';
import { placementCost } from './placement-cost.js';
import { prefixReuse } from './prefix-reuse.js';

/** All scenarios, in the order in which `--list` prints them. */
export const scenarios: readonly Scenario[] = [
  mixedLengths,
  lowRankFlood,
  urgentFlood,
  largeCallers,
  prefixReuse,
  engineDeaths,
  slowLinks,
  storeOutage,
  confirmations,
  chaos,
  controlCost,
  configurationSpread,
  placementCost,
];
