/** One run of a backend server, to which a restriction belongs. */
import { type BackendServer } from '@toucanbend/registry';

/** One run of a backend server. */
export type ServerRun = Pick<BackendServer, 'id' | 'bornAtMs'>;
