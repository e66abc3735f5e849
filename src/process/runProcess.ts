/** Runs a process until it is told to stop, then stops it in the opposite order. */
import { Effect, Exit, Scope } from "effect";
import type { Logger } from "../metrics";
import { awaitStopSignal } from "./signals";

/**
 * Runs what is started until a stop signal came and everything was stopped.
 * @param start - Starts the process's parts in a scope.
 */
export async function runProcess(
  start: Effect.Effect<unknown, unknown, Scope.Scope>,
  logger: Logger,
): Promise<void> {
  const scope = await Effect.runPromise(Scope.make());
  const run = Effect.gen(function* () {
    yield* start;
    return yield* awaitStopSignal;
  });
  try {
    const signal = await Effect.runPromise(Scope.provide(run, scope));
    logger.info({ event: "stopping", signal });
  } finally {
    await Effect.runPromise(Scope.close(scope, Exit.void));
  }
}
