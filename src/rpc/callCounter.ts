/** Counts the calls of our own protocol where they arrive. */
import type { Interceptor } from "@connectrpc/connect";
import type { Clock } from "../clock";
import type { CallLoad } from "../metrics";

/** Makes an interceptor that notes each call; of one that streams, how long its answer took to begin. */
export function createCallCounter(load: CallLoad, clock: Clock): Interceptor {
  return (next) => async (request) => {
    const call = request.method.name;
    const startedAt = clock.getMonotonicMs();
    load.recordStart(call);
    const getEnd = (hasFailed: boolean) => {
      if (request.signal.aborted) return "gone";
      return hasFailed ? "failed" : "answered";
    };
    try {
      const response = await next(request);
      load.recordOutcome(call, getEnd(false), clock.getMonotonicMs() - startedAt);
      return response;
    } catch (cause) {
      load.recordOutcome(call, getEnd(true), clock.getMonotonicMs() - startedAt);
      throw cause;
    }
  };
}
