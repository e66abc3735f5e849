/** Waits for the signals by which an operator stops a process. */
import { Effect } from "effect";

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Waits for the first stop signal. */
export const awaitStopSignal: Effect.Effect<NodeJS.Signals> = Effect.callback<NodeJS.Signals>((resume) => {
  const handlers = STOP_SIGNALS.map((signal) => {
    const handler = () => resume(Effect.succeed(signal));
    process.once(signal, handler);
    return { signal, handler };
  });
  return Effect.sync(() => {
    for (const { signal, handler } of handlers) process.off(signal, handler);
  });
});
