/** Runs a process until a stop signal, then stops its parts in reverse order of their start. */
import { Effect, Exit, Scope } from "effect";
import type { Logger } from "../metrics";
import type { ProcessSignals } from "./ProcessSignals";

/**
 * Runs a process until it has received a stop signal and all its parts have stopped. A stop signal during the
 * start interrupts the start.
 * @param start - Starts the process's parts in a scope.
 */
export async function runProcess(
  start: Effect.Effect<unknown, unknown, Scope.Scope>,
  logger: Logger,
  signals: ProcessSignals,
): Promise<void> {
  signals.setLogger(logger);
  const scope = await Effect.runPromise(Scope.make());
  const startAndWait = Effect.andThen(start, Effect.never);
  const stop = Effect.promise(() => signals.firstStop);
  try {
    const signal = await Effect.runPromise(Scope.provide(Effect.raceFirst(startAndWait, stop), scope));
    logger.info({ event: "stopping", signal });
  } finally {
    await Effect.runPromise(Scope.close(scope, Exit.void));
  }
}
