/**
 * Finds out whether an instance has ended, where an answer of it broke off.
 *
 * Connections are reset and answers are cut for many reasons. One whose port refuses connections a moment
 * later is gone; a silent one may be cut off, and one that takes connections is there.
 */

import { connect } from "node:net";
import { pause } from "../clock";
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import { splitAddress } from "../http";

/** A connection within a region comes up or is refused in a few milliseconds. */
const CONNECT_MS = 300;
/** A process that crashes may close its connections before its port. */
const TRIES = 3;
const PAUSE_MS = 30;
/** Lives that were asked for lately; those of one moment share the answer. */
const KEPT_ANSWERS = 256;

/** Whether an instance has ended. */
export interface EndedAnswer {
  /** As the first look shows it. */
  readonly atOnce: Promise<boolean>;
  /** As the last look shows it. */
  readonly atLast: Promise<boolean>;
}

/** Asks the addresses of instances. */
export class EndedLives {
  private readonly _asked = new Map<string, EndedAnswer>();

  /** Checks whether a target's address refuses connections. */
  ask({ id, address }: Target): EndedAnswer {
    const known = this._asked.get(id);
    if (known !== undefined) return known;
    const atOnce = refusesConnections(address);
    const asked = { atOnce, atLast: this._lookAgain(id, address, atOnce) };
    this._asked.set(id, asked);
    if (this._asked.size > KEPT_ANSWERS) this._asked.delete(this._asked.keys().next().value!);
    return asked;
  }

  private async _lookAgain(id: string, address: string, atOnce: Promise<boolean>): Promise<boolean> {
    if (await atOnce) return true;
    for (let i = 1; i < TRIES; i++) {
      await pause(PAUSE_MS);
      if (await refusesConnections(address)) return true;
    }
    // It is there, or cut off: what breaks off next is asked for anew.
    this._asked.delete(id);
    return false;
  }
}

function refusesConnections(address: string): Promise<boolean> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: CONNECT_MS });
    const end = (isRefused: boolean) => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.once("connect", () => end(false));
    socket.once("timeout", () => end(false));
    socket.once("error", (cause: NodeJS.ErrnoException) => end(cause.code === "ECONNREFUSED"));
  });
}
