/** Fake model engine: serves completions as server-sent events, timed by the model in engine-model.ts. */
import { type ServerResponse } from 'node:http';
import { createEngineModel, type EngineSpeed, realSpeed, type Sequence } from './engine-model.js';
import { sendJson, serve } from './http.js';

/** Settings of the fake engine. */
export interface EngineOptions extends Partial<EngineSpeed> {
  readonly port: number;
  readonly models: readonly string[];
  readonly checksFencing?: boolean;
}

/** Faults that can be injected into the fake. */
export enum EngineFault {
  None = 'none',
  /** Streams stay open but send no more data, even after the fault is cleared. */
  Silent = 'silent',
  /** Iterations take ten times as long. */
  Slow = 'slow',
  /** Every new request is rejected. */
  Refuse = 'refuse',
}

const SLOW_FACTOR = 10;
const MAX_LAG_MS = 50;
const TIMER_RESOLUTION_MS = 0.5;

/**
 * Starts the fake's HTTP server.
 *
 * @param options - port, models and speed
 * @returns the port, once the server listens
 */
export function serveEngine(options: EngineOptions): Promise<number> {
  const speed = { ...realSpeed, ...options };
  const model = createEngineModel(speed);
  let models = [...options.models];
  let fault = EngineFault.None;
  let highestFencing = 0;
  let busy = false;
  let endsAt = 0;
  let requests = 0;

  const iterate = (): void => {
    const plan = model.plan();
    busy = plan !== undefined;
    if (plan === undefined) {
      return;
    }
    const factor = fault === EngineFault.Slow ? SLOW_FACTOR : 1;
    endsAt = Math.max(endsAt, performance.now() - MAX_LAG_MS) + plan.durationMs * factor;
    const finish = (): void => {
      plan.complete();
      iterate();
    };
    const waitMs = endsAt - performance.now();
    if (waitMs > TIMER_RESOLUTION_MS) {
      setTimeout(finish, waitMs);
    } else {
      setImmediate(finish);
    }
  };

  const complete = (body: Buffer, response: ServerResponse): void => {
    const order = JSON.parse(body.toString()) as {
      model: string;
      prompt: string;
      max_tokens: number;
      priority?: number;
    };
    requests += 1;
    if (fault === EngineFault.Refuse || !models.includes(order.model)) {
      sendJson(response, { error: 'refused' }, fault === EngineFault.Refuse ? 503 : 404);
      return;
    }
    let isMuted = false;
    const write = (data: string): void => {
      isMuted ||= fault === EngineFault.Silent;
      if (!isMuted) {
        response.write(`data: ${data}\n\n`);
      }
    };
    const emit = (token: string): void => {
      write(JSON.stringify({ choices: [{ text: token }] }));
    };
    const finish = (): void => {
      write('[DONE]');
      if (!isMuted) {
        response.end();
      }
    };
    const sequence: Sequence | undefined = model.add(
      order.prompt,
      order.max_tokens,
      order.priority ?? 0,
      emit,
      finish,
    );
    if (sequence === undefined) {
      sendJson(response, { error: 'beyond memory' }, 400);
      return;
    }
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.flushHeaders();
    response.on('close', () => {
      model.remove(sequence);
    });
    if (!busy) {
      endsAt = performance.now();
      iterate();
    }
  };

  return serve(options.port, (path, body, _request, response) => {
    switch (path) {
      case '/v1/completions':
        complete(body, response);
        return;
      case '/status':
        sendJson(response, {
          memoryTokens: speed.memoryTokens,
          usedTokens: model.usedTokens(),
          cacheTokens: model.cacheTokens(),
          running: model.running(),
          requests,
          models,
        });
        return;
      case '/orders': {
        const order = JSON.parse(body.toString()) as { load: string[]; unload: string[]; fencing: number };
        if (options.checksFencing === true && order.fencing < highestFencing) {
          sendJson(response, { error: 'old fencing number' }, 409);
          return;
        }
        highestFencing = Math.max(highestFencing, order.fencing);
        models = [...models.filter((name) => !order.unload.includes(name)), ...order.load];
        sendJson(response, { models });
        return;
      }
      case '/fault':
        fault = JSON.parse(body.toString()) as EngineFault;
        sendJson(response, { fault });
        return;
      default:
        sendJson(response, { error: 'not found' }, 404);
    }
  });
}
