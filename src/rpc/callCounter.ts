/** Counts the incoming calls of the protocol between processes. */
import type { Interceptor } from "@connectrpc/connect";
import type { Clock } from "../clock";
import type { CallLoad } from "../metrics";

/**
 * Creates an interceptor that counts each call and measures how long it took; for a streaming call, how long
 * until its answer began.
 */
export function createCallCounter(load: CallLoad, clock: Clock): Interceptor {
  return (next) => async (request) => {
    const call = request.method.name;
    const startedAt = clock.getMonotonicMs();
    load.recordStart(call);
    const getOutcome = (hasFailed: boolean) => {
      if (request.signal.aborted) return "gone";
      return hasFailed ? "failed" : "answered";
    };
    try {
      const response = await next(request);
      load.recordOutcome(call, getOutcome(false), clock.getMonotonicMs() - startedAt);
      return response;
    } catch (cause) {
      load.recordOutcome(call, getOutcome(true), clock.getMonotonicMs() - startedAt);
      throw cause;
    }
  };
}
