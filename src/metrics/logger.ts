/** The log of a process. */
import { type Logger, pino } from "pino";

export type { Logger };

/** Levels of logs, least first. */
export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

/**
 * Makes the logger of a process: JSON lines on standard output.
 * @param process - Kind and name of the process, on every line.
 */
export function createLogger(
  level: LogLevel,
  process: { readonly role: string; readonly name: string },
): Logger {
  return pino({ level, base: process, timestamp: pino.stdTimeFunctions.isoTime, messageKey: "message" });
}
