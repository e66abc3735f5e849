/**
 * Reads the time since the machine was booted, including time in which it was suspended.
 *
 * The runtime only offers the steady clock, which stops while the machine is suspended. `os.uptime()` reads a
 * file with a resolution of 10 ms, or of whole seconds if that file is missing, and in a container it may
 * report another machine's time. Therefore the C library is called directly, which costs little more than
 * reading the steady clock.
 */
import { resolve } from "node:path";
import { MissingBootTime } from "../errors";

/** Reads the time since the machine was booted. */
export interface BootTime {
  /** Gets the time in milliseconds. */
  getMs(): number;
}

/** The part of the `koffi` foreign function library that is used here. */
interface ForeignFunctions {
  load(path: string): { func(prototype: string): (clock: number, time: Buffer) => number };
}

/**
 * Native part of `koffi`, relative to the working directory of the process; the build or npm puts it there.
 */
const KOFFI_FILES = [
  "target/koffi.node",
  `node_modules/@koromix/koffi-${process.platform}-${process.arch}/${process.platform}_${process.arch}/koffi.node`,
];
/** `CLOCK_BOOTTIME` of Linux's `<time.h>`. */
const CLOCK_BOOTTIME = 7;
const C_LIBRARY = "libc.so.6";
/** Size of `struct timespec`: seconds and nanoseconds, 64 bits each. */
const TIMESPEC_BYTES = 16;
const NANOSECONDS_OFFSET = 8;
const MS_PER_S = 1_000;
const NS_PER_MS = 1_000_000;

/**
 * Loads the C library's clock function.
 * @throws MissingBootTime - When the system has no such clock, or `koffi` is not installed.
 */
export function loadBootTime(): BootTime {
  const time = Buffer.alloc(TIMESPEC_BYTES);
  const clockGetTime = loadClockGetTime();
  const read = () => {
    if (clockGetTime(CLOCK_BOOTTIME, time) !== 0)
      throw new MissingBootTime({ reason: "clock_gettime failed" });
    return (
      Number(time.readBigInt64LE(0)) * MS_PER_S + Number(time.readBigInt64LE(NANOSECONDS_OFFSET)) / NS_PER_MS
    );
  };
  read();
  return { getMs: read };
}

/**
 * Loads the native code on first use, because a program that starts from a heap snapshot can't contain any.
 * The file is opened by its path, since module resolution does not work in every such program.
 */
function loadClockGetTime(): (clock: number, time: Buffer) => number {
  const reasons: string[] = [];
  for (const file of KOFFI_FILES) {
    try {
      const module = { exports: {} };
      process.dlopen(module, resolve(file));
      const library = module.exports as ForeignFunctions;
      return library.load(C_LIBRARY).func("int clock_gettime(int clock, void *time)");
    } catch (cause) {
      reasons.push(cause instanceof Error ? cause.message : String(cause));
    }
  }
  throw new MissingBootTime({ reason: reasons.join("; ") });
}
