/** Interface of a client that calls a plain (non-model) service. */
import { type ServiceCall } from '@toucanbend/core';
import { type Result } from 'neverthrow';

/** The HTTP response of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Reasons why a call returned no response. */
export enum ServiceErrorKind {
  /** The call did not reach the service, so it is safe to send it again. */
  NotSent = 'not_sent',
  /** The connection failed after the call may have been sent: whether it ran is in doubt. */
  ResponseLost = 'answer_lost',
}

/** The reason why a call returned no response, with a message for operators. */
export interface ServiceError {
  readonly kind: ServiceErrorKind;
  readonly message: string;
}

/** A call in flight. */
export interface PendingCall {
  readonly answer: Promise<Result<ServiceAnswer, ServiceError>>;
  /** Closes the connection of the call; the service may still run it. */
  readonly abandon: () => void;
}

/** Client of one plain service. */
export interface PlainService {
  /**
   * Sends the call to the service once, without retries.
   *
   * @param call - method, path and type of the body
   * @param requestId - passed on so that the service can log it
   * @param body - the body
   * @returns the pending call
   */
  call(call: ServiceCall, requestId: string, body: Uint8Array): PendingCall;
}
