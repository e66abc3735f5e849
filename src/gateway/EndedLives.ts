/**
 * Determines whether an instance has ended after one of its answers broke off.
 *
 * Connections are reset and answers are cut for many reasons. An instance has ended if its port refuses
 * connections a moment later. One whose port does not respond may only be partitioned, and one that accepts
 * connections is running.
 */

import { connect } from "node:net";
import { pause } from "../clock";
import type { Target } from "../gen/ploverstage/v1/fleet_pb";
import { splitAddress } from "../http";

/** A connection within a region is established or refused within a few milliseconds. */
const CONNECT_MS = 300;
/**
 * A crashing process may close its connections before its listening port, so the port is probed several
 * times.
 */
const TRIES = 3;
const PAUSE_MS = 30;
/**
 * Number of incarnations whose results are cached, so that attempts that break off together share one result.
 */
const KEPT_ANSWERS = 256;

/** Whether an instance has ended. */
export interface EndedAnswer {
  /** Result of the first connection attempt. */
  readonly atOnce: Promise<boolean>;
  /** Result after the last connection attempt. */
  readonly atLast: Promise<boolean>;
}

/** Probes the addresses of instances. */
export class EndedLives {
  private readonly _asked = new Map<string, EndedAnswer>();

  /** Probes whether a target's address refuses connections. */
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
    // The instance is running or partitioned, so the next broken attempt probes it again.
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
