/** Creates the logger of a process. */
import { type Logger, pino } from "pino";

export type { Logger };

/** Log levels, the most verbose first. */
export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

/**
 * Creates a logger that writes JSON lines to standard output.
 * @param process - Role and name of the process, added to every line.
 */
export function createLogger(
  level: LogLevel,
  process: { readonly role: string; readonly name: string },
): Logger {
  return pino({ level, base: process, timestamp: pino.stdTimeFunctions.isoTime, messageKey: "message" });
}
