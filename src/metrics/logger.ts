/** Types of the logger of a process. */
export type { Logger } from "pino";

/** Log levels, the most verbose first. */
export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";
