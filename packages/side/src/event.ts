/** Events of a side, which are handled sequentially. */
import { type ConfigurationDocument } from '@toucanbend/configuration';
import { type ServiceAnswer } from '@toucanbend/service';
import { type Frame, type Link } from '@toucanbend/wire';
import { type BackendEnd } from './backend.js';
import { type RequestTimer } from './tracked-request.js';

export enum SideEventType {
  Frame = 'frame',
  LinkEnded = 'link_ended',
  Tokens = 'tokens',
  Answer = 'answer',
  BackendEnded = 'backend_ended',
  TimerFired = 'timer_fired',
  Tick = 'tick',
  Configured = 'configured',
  DrainingSet = 'leave',
}

/** An event; identifiers are those of tracked requests. */
export type SideEvent =
  | { readonly type: SideEventType.Frame; readonly link: Link; readonly frame: Frame }
  | { readonly type: SideEventType.LinkEnded; readonly link: Link }
  | { readonly type: SideEventType.Tokens; readonly id: string; readonly tokens: readonly string[] }
  | { readonly type: SideEventType.Answer; readonly id: string; readonly answer: ServiceAnswer }
  | {
      readonly type: SideEventType.BackendEnded;
      readonly id: string;
      readonly end: BackendEnd;
      readonly message: string;
    }
  | { readonly type: SideEventType.TimerFired; readonly id: string; readonly timer: RequestTimer }
  | { readonly type: SideEventType.Tick }
  | { readonly type: SideEventType.Configured; readonly document: ConfigurationDocument }
  | { readonly type: SideEventType.DrainingSet; readonly leaving: boolean };
