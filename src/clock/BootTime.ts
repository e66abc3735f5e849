/**
 * Time since the machine was started, the time in which it was suspended included.
 *
 * The steady clock, which is all that the runtime gives, stands still while a machine is suspended. `os.uptime()`
 * reads a file with a resolution of 10 ms, or whole seconds where there is none, and in a container it may be
 * another machine's. So the C library is asked, which costs little more than the steady clock.
 */
import { resolve } from "node:path";
import { MissingBootTime } from "../errors";

/** Reads the time since the start of the machine. */
export interface BootTime {
  /** Gets milliseconds. */
  getMs(): number;
}

/** The part of the library for calls to C that is used here. */
interface ForeignFunctions {
  load(path: string): { func(prototype: string): (clock: number, time: Buffer) => number };
}

/** Native part of the library `koffi`, from the folder that a process is started in: put there by the build, or by npm. */
const LIBRARY_FILES = [
  "target/koffi.node",
  `node_modules/@koromix/koffi-${process.platform}-${process.arch}/${process.platform}_${process.arch}/koffi.node`,
];
/** Linux: `CLOCK_BOOTTIME` of `<time.h>`. */
const CLOCK_BOOTTIME = 7;
const C_LIBRARY = "libc.so.6";
/** `struct timespec`: seconds and nanoseconds, 64 bits each. */
const TIMESPEC_BYTES = 16;
const NANOSECONDS_AT = 8;
const MS_PER_S = 1_000;
const NS_PER_MS = 1_000_000;

/**
 * Loads the C library's clock.
 * @throws MissingBootTime - Where there is none, or the library for calls to C is not installed.
 */
export function loadBootTime(): BootTime {
  const time = Buffer.alloc(TIMESPEC_BYTES);
  const getTime = loadFunction();
  const read = () => {
    if (getTime(CLOCK_BOOTTIME, time) !== 0) throw new MissingBootTime({ reason: "it can't be read" });
    return (
      Number(time.readBigInt64LE(0)) * MS_PER_S + Number(time.readBigInt64LE(NANOSECONDS_AT)) / NS_PER_MS
    );
  };
  read();
  return { getMs: read };
}

/**
 * Native code is loaded when first used: a program that starts from a kept heap can't have any in it. It is opened
 * by its path, since the runtime's search for modules doesn't work in such a program everywhere.
 */
function loadFunction(): (clock: number, time: Buffer) => number {
  const reasons: string[] = [];
  for (const file of LIBRARY_FILES) {
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
