/**
 * Relays between the processes of one system, so that a test can disturb the connections between them.
 *
 * Each process believes that all others listen at a port of its own; there a relay passes its connections on.
 */
import { connect, createServer } from "node:net";

/** One relay for the connections from one process to another. */
export class Relay {
  #pairs = new Set();
  #isCut = false;
  constructor(name, from, to) {
    Object.assign(this, { name, from, to, accepted: 0 });
  }

  async start() {
    this.server = createServer({ allowHalfOpen: false }, (client) => this.#accept(client));
    const [ip, port] = this.from.split(":");
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(Number(port), ip, resolve);
    });
  }

  #accept(client) {
    this.accepted += 1;
    if (this.isCutFrom?.(client.remoteAddress)) {
      client.on("error", () => {});
      client.resetAndDestroy();
      return;
    }
    const [ip, port] = this.to.split(":");
    const pair = {
      client,
      target: undefined,
      isSilent: this.#isCut || this.isSilentFrom?.(client.remoteAddress) === true,
    };
    this.#pairs.add(pair);
    client.on("error", () => {});
    client.setNoDelay(true);
    const end = () => {
      if (pair.isSilent) return;
      client.destroy();
      pair.target?.destroy();
      this.#pairs.delete(pair);
    };
    client.on("close", end);
    if (pair.isSilent) {
      client.on("data", () => {});
      return;
    }
    pair.target = connect({ host: ip, port: Number(port), localAddress: this.sourceAddress });
    pair.target.setNoDelay(true);
    pair.target.on("error", () => {});
    pair.target.on("close", end);
    client.on("data", (bytes) => pair.isSilent || pair.target.write(bytes));
    pair.target.on("data", (bytes) => pair.isSilent || client.write(bytes));
  }

  /** Makes the open connections silent for good: nothing arrives on either side, and nothing is closed. */
  silence() {
    for (const pair of this.#pairs) pair.isSilent = true;
    return this.#pairs.size;
  }

  /** Cuts the link: open and new connections are silent. */
  cut() {
    this.#isCut = true;
    return this.silence();
  }

  /** Resets the open connections from an address, and those that come while `isCutFrom` is true for it. */
  resetFrom(address) {
    for (const pair of this.#pairs) {
      if (pair.client.remoteAddress !== address) continue;
      pair.client.resetAndDestroy();
      pair.target?.resetAndDestroy();
      this.#pairs.delete(pair);
    }
  }

  /** Makes open and new connections from some addresses silent. */
  hangFrom(addresses) {
    this.isSilentFrom = (address) => addresses.includes(address);
    for (const pair of this.#pairs) if (this.isSilentFrom(pair.client.remoteAddress)) pair.isSilent = true;
  }

  /** Ends a cut: new connections are passed on; those of the time of the cut are reset. */
  heal() {
    this.#isCut = false;
    this.reset();
  }

  /** Resets the open connections. */
  reset() {
    for (const { client, target } of this.#pairs) {
      client.resetAndDestroy?.();
      target?.resetAndDestroy?.();
    }
    this.#pairs.clear();
  }

  stop() {
    this.reset();
    this.server.close();
  }
}

/** Puts relays on all links of a prepared system, which has not been started. */
export async function addLinks(system) {
  const relays = [];
  const nodes = [...system.controls, ...system.entries];
  const ports = new Map(nodes.map((node, i) => [node, system.ports.rpc + 10 + i]));
  system.listenPorts = ports;
  for (const from of nodes) {
    for (const to of nodes) {
      if (from === to || to.role === "entry") continue;
      const relay = new Relay(
        `${from.name}>${to.name}`,
        `${to.ip}:${ports.get(from)}`,
        `${to.ip}:${ports.get(to)}`,
      );
      relay.sourceAddress = from.ip;
      await relay.start();
      relays.push(relay);
    }
  }
  return relays;
}
