/**
 * Control processes, entries and declarations under simulated time: watchers, relays, hubs and kept views are the
 * real ones; the agreement, the network between them and the disks are modelled.
 */

import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import type { Clock } from "../../../src/clock";
import { SeededRandom } from "../../../src/consensus";
import { EntryEndpointSchema, type WatchRequest } from "../../../src/gen/ploverstage/v1/fleet_pb";
import { type Declaration, DeclarationSchema } from "../../../src/gen/ploverstage/v1/state_pb";
import { orderByAffinity } from "../../../src/registration";
import { ControlCallCounter } from "../../../src/registration/ControlCallCounter";
import { FleetRelay } from "../../../src/registration/FleetRelay";
import { FleetView } from "../../../src/registration/FleetView";
import { FollowedView } from "../../../src/registration/FollowedView";
import { addFleetRoutes } from "../../../src/registration/fleetRoutes";
import { PersistedView } from "../../../src/registration/PersistedView";
import { ViewWatcher } from "../../../src/registration/ViewWatcher";
import { TransportPool } from "../../../src/rpc";
import { createMeter } from "../../support/createMeter";

/** Clients by address, for the mocked `createClient`. */
export type SimulatedClients = Map<string, object>;

const CONTROLS = 5;
const MAJORITY = 3;
const ENTRIES = 6;
/** From power to a process that runs. */
const START_MS = 800;
/** From the start of a majority to a leader that has committed. */
const ELECTION_MIN_MS = 1_200;
const ELECTION_MAX_MS = 2_400;
/** A leader tells the others how far it has committed so often. */
const APPEND_MS = 100;
const ACKNOWLEDGE_MS = 50;
const FIRST_VERSION = 8;

const SILENT = { info: () => {}, warn: () => {}, error: () => {} } as never;
const METRICS = { increment: () => {}, timing: () => {}, gauge: () => {} } as never;

/** The agreement of one fleet: a list of committed declarations. */
class SimulatedAgreement {
  readonly committed: Declaration[] = [createDeclaration(FIRST_VERSION)];
  term = 1;
  /** Index of the process that leads and has committed in its term. */
  leader: number | undefined = 0;
  /** While it has so much else to do, a leader answers no watcher; the agreement goes on. */
  overloadedUntil = 0;
}

class SimulatedControl {
  readonly address: string;
  private readonly _index: number;
  private readonly _fleet: SimulatedFleet;
  private _relay: FleetRelay | undefined;
  private _known: PersistedView | undefined;
  private _calls: ControlCallCounter | undefined;
  private _leadership: { term: number; view: FleetView } | undefined;
  private _applied = 0;
  private _listeners: (() => void)[] = [];
  private _routes:
    | { watch(request: WatchRequest, context: { signal: AbortSignal }): AsyncIterable<unknown> }
    | undefined;
  private _life = new AbortController();
  private _appendedAt = Number.NEGATIVE_INFINITY;

  constructor(fleet: SimulatedFleet, index: number) {
    this._fleet = fleet;
    this._index = index;
    this.address = `c${index}:1`;
    fleet.clients.set(this.address, this._createClient());
  }

  get isUp(): boolean {
    return this._relay !== undefined;
  }

  async start(): Promise<void> {
    const { _fleet: fleet, _index: index } = this;
    const { agreement, clock } = fleet;
    this._life = new AbortController();
    this._applied = 0;
    this._listeners = [];
    const known = await PersistedView.open(this.address, SILENT);
    this._known = known;
    const driver = {
      node: {
        id: this.address,
        get term() {
          return agreement.term;
        },
        get leaderId() {
          return fleet.isHeard(agreement.leader) ? `c${agreement.leader}:1` : "";
        },
        isElecting: () => !fleet.isHeard(agreement.leader) && fleet.upCount >= MAJORITY,
        getQuorumContactAt: (now: number) => now,
      },
      machine: {
        getDeclaration: () => agreement.committed[this._applied - 1],
        getReplica: () => undefined,
        getKnownReplicas: () => [],
        getDepartures: () => [],
        hasDeparted: () => false,
      },
      getCaughtUpContactAt: () => (fleet.isHeard(agreement.leader) ? this._appendedAt : undefined),
      isLeader: () => agreement.leader === index,
      getLeaderAddress: () => (fleet.isHeard(agreement.leader) ? `c${agreement.leader}:1` : ""),
      addStateListener: (listener: () => void) => this._listeners.push(listener),
    } as never;
    const getLeadership = () => this._leadership as never;
    const relay = new FleetRelay({
      driver,
      getLeadership,
      getSeeds: () => fleet.addresses,
      listen: this.address,
      publicAddress: this.address,
      transports: new TransportPool(undefined),
      recovered: known.recovered,
      isFirstStart: false,
      clock,
      logger: SILENT,
      getReportTimeoutMs: () => 300,
    });
    this._relay = relay;
    this._calls = new ControlCallCounter(SILENT, METRICS);
    const router = { service: (_: unknown, routes: never) => (this._routes = routes) };
    addFleetRoutes(router as never, {
      driver,
      guard: undefined as never,
      clock,
      hub: relay.hub,
      calls: this._calls,
      meter: createMeter(clock),
      getLeadership,
      relaySuspicions: () => {},
      relayCrashes: async () => {},
      relayEntries: async () => {},
    });
    relay.start();
    known.start(
      () => relay.hub.getSource(),
      () => clock.getMonotonicMs(),
      () => relay.committedDeclaration,
    );
  }

  stop(): void {
    this._life.abort();
    this._relay?.stop();
    this._known?.stop();
    this._calls?.stop();
    this._relay = undefined;
    this._leadership = undefined;
  }

  lead(): void {
    const view = new FleetView();
    view.setControlAddresses(this._fleet.addresses.filter((address) => address !== this.address));
    view.setComplete();
    this._leadership = { term: this._fleet.agreement.term, view };
    this.apply();
  }

  /** Applies what is committed, as a leader or as its follower. */
  apply(): void {
    const { agreement, clock } = this._fleet;
    this._appendedAt = clock.getMonotonicMs();
    while (this._applied < agreement.committed.length) {
      this._applied += 1;
      for (const listener of this._listeners) listener();
    }
    if (this._leadership === undefined) return;
    this._leadership.view.setDeclaration(agreement.committed[this._applied - 1]);
    this._relay?.hub.notify();
  }

  private _createClient(): object {
    const refuse = () => {
      throw new ConnectError("not served here", Code.Unavailable);
    };
    return {
      watch: (request: WatchRequest, { signal }: { signal: AbortSignal }) => this._watch(request, signal),
      report: async () => refuse(),
      relay: () => refuse(),
      suspect: async () => refuse(),
      reportCrashes: async () => refuse(),
    };
  }

  private async *_watch(request: WatchRequest, signal: AbortSignal): AsyncGenerator<unknown> {
    await delay(1);
    if (!this.isUp) throw new ConnectError("refused", Code.Unavailable);
    const ended = AbortSignal.any([signal, this._life.signal]);
    await this._waitForTurn(ended);
    for await (const update of this._routes!.watch(request, { signal: ended })) {
      await this._waitForTurn(ended);
      yield update;
    }
    if (ended.aborted) throw new ConnectError("ended", Code.Unavailable);
  }

  private async _waitForTurn(signal: AbortSignal): Promise<void> {
    const { agreement, clock } = this._fleet;
    const isLate = () =>
      agreement.leader === this._index && clock.getMonotonicMs() < agreement.overloadedUntil;
    while (isLate() && !signal.aborted) await delay(20);
    if (signal.aborted) throw new ConnectError("ended", Code.Unavailable);
  }
}

class SimulatedEntry {
  /** Version of the declaration that requests are handled by. */
  version: number | undefined;
  private readonly _fleet: SimulatedFleet;
  private readonly _id: string;
  private _watcher: ViewWatcher | undefined;

  constructor(fleet: SimulatedFleet, index: number) {
    this._fleet = fleet;
    this._id = `e${index}`;
  }

  start(): void {
    const view = new FollowedView();
    const update = () => {
      this.version = view.declaration?.version;
    };
    this._watcher = new ViewWatcher({
      watcherId: this._id,
      entry: create(EntryEndpointSchema, { address: `${this._id}:1`, failureDomain: "a" }),
      getSeeds: () => this._fleet.addresses,
      orderCandidates: (addresses) => orderByAffinity(this._id, addresses),
      transports: new TransportPool(undefined),
      view,
      clock: this._fleet.clock,
      logger: SILENT,
      onChange: update,
      onDeclaration: update,
    });
    void this._watcher.run();
  }

  stop(): void {
    this._watcher?.stop();
    this.version = undefined;
  }
}

/** Times of a play, milliseconds. */
export interface FleetBounds {
  /** Calm begins so long after the last loss has ended. */
  readonly contactMs: number;
  /** An acknowledged declaration is obeyed after so long. */
  readonly applyMs: number;
}

/** When what fails. Milliseconds of the play. */
export interface FleetTroubles {
  readonly endMs: number;
  /** All control processes lose power for a second. */
  readonly coreAt: readonly number[];
  /** All entries lose power for a second. */
  readonly entriesAt: readonly number[];
  /** The new leaders, one after the other, answer no watcher for so long after they began. */
  readonly overloadsMs: readonly number[];
  readonly declareEveryMs: number;
}

const POWER_MS = 1_000;
const STEP_MS = 10;

/** One fleet. */
export class SimulatedFleet {
  readonly agreement = new SimulatedAgreement();
  readonly clock: Clock = { getMonotonicMs: () => this._now, getWallMs: () => this._now };
  readonly addresses: readonly string[] = Array.from({ length: CONTROLS }, (_, i) => `c${i}:1`);
  readonly clients: SimulatedClients;
  private readonly _advance: (ms: number) => Promise<unknown>;
  private readonly _random: SeededRandom;
  private readonly _controls: SimulatedControl[];
  private readonly _entries = Array.from({ length: ENTRIES }, (_, i) => new SimulatedEntry(this, i));
  private readonly _acknowledged: { version: number; at: number }[] = [];
  private _now = 0;
  private _changedAt = 0;
  private _electedAt = Number.POSITIVE_INFINITY;
  private _timeline: { at: number; run: () => void | Promise<void> }[] = [];

  /**
   * @param clients - Filled with a client of each control process.
   * @param advance - Lets timers run for so many milliseconds.
   */
  constructor(seed: number, clients: SimulatedClients, advance: (ms: number) => Promise<unknown>) {
    this._random = new SeededRandom(seed);
    this.clients = clients;
    this._advance = advance;
    this._controls = this.addresses.map((_, i) => new SimulatedControl(this, i));
  }

  /** Gets how many declarations were acknowledged. */
  get acknowledgedCount(): number {
    return this._acknowledged.length;
  }

  get upCount(): number {
    return this._controls.filter((control) => control.isUp).length;
  }

  /** Checks whether a process leads that runs. */
  isHeard(leader: number | undefined): boolean {
    return leader !== undefined && this._controls[leader]!.isUp;
  }

  /** Plays troubles; says of each entry and version when it was first gone by although a newer one was in force. */
  async play(troubles: FleetTroubles, bounds: FleetBounds): Promise<string[]> {
    const found = new Map<string, string>();
    for (const control of this._controls) await control.start();
    this._controls[0]!.lead();
    for (const entry of this._entries) entry.start();
    this._plan(troubles);
    while (this._now < troubles.endMs) {
      await this._step(troubles);
      for (const [key, outdated] of this._getOutdated(bounds)) if (!found.has(key)) found.set(key, outdated);
    }
    for (const control of this._controls) control.stop();
    for (const entry of this._entries) entry.stop();
    await this._advance(5_000);
    return [...found.values()];
  }

  private _plan({ coreAt, entriesAt }: FleetTroubles): void {
    for (const at of coreAt) {
      this._timeline.push({ at, run: () => this._stopCore() });
      this._timeline.push({ at: at + POWER_MS, run: () => this._noteChange() });
      this._timeline.push({ at: at + POWER_MS + START_MS, run: () => this._startCore() });
    }
    for (const at of entriesAt) {
      this._timeline.push({ at, run: () => this._stopEntries() });
      this._timeline.push({ at: at + POWER_MS, run: () => this._noteChange() });
      this._timeline.push({ at: at + POWER_MS + START_MS / 2, run: () => this._startEntries() });
    }
    this._timeline.sort((a, b) => a.at - b.at);
  }

  private async _step({ declareEveryMs, overloadsMs }: FleetTroubles): Promise<void> {
    while ((this._timeline[0]?.at ?? Number.POSITIVE_INFINITY) <= this._now)
      await this._timeline.shift()!.run();
    if (this._now >= this._electedAt) this._elect(overloadsMs);
    if (this._now % declareEveryMs === 0) this._declare();
    if (this._now % APPEND_MS === 0 && this.isHeard(this.agreement.leader)) {
      for (const control of this._controls) if (control.isUp) control.apply();
    }
    await this._advance(STEP_MS);
    this._now += STEP_MS;
  }

  private _noteChange(): void {
    this._changedAt = this._now;
  }

  private _stopCore(): void {
    this._noteChange();
    for (const control of this._controls) control.stop();
    this.agreement.leader = undefined;
    this._electedAt = Number.POSITIVE_INFINITY;
  }

  private async _startCore(): Promise<void> {
    for (const control of this._controls) await control.start();
    this._electedAt = this._now + ELECTION_MIN_MS + this._draw(ELECTION_MAX_MS - ELECTION_MIN_MS);
  }

  private _stopEntries(): void {
    this._noteChange();
    for (const entry of this._entries) entry.stop();
  }

  private _startEntries(): void {
    for (const entry of this._entries) entry.start();
  }

  private _elect(overloadsMs: readonly number[]): void {
    this._electedAt = Number.POSITIVE_INFINITY;
    this.agreement.term += 1;
    this.agreement.leader = this._draw(CONTROLS);
    // The first term is that of the leader at the start.
    this.agreement.overloadedUntil = this._now + (overloadsMs[this.agreement.term - 2] ?? 0);
    this._controls[this.agreement.leader]!.lead();
  }

  private _declare(): void {
    const { committed, leader } = this.agreement;
    if (!this.isHeard(leader)) return;
    const version = committed.at(-1)!.version + 1;
    committed.push(createDeclaration(version));
    this._controls[leader!]!.apply();
    this._acknowledged.push({ version, at: this._now + ACKNOWLEDGE_MS });
  }

  private _draw(below: number): number {
    return Math.floor(this._random.next() * below);
  }

  private *_getOutdated({ contactMs, applyMs }: FleetBounds): Generator<[string, string]> {
    if (this._now - this._changedAt < contactMs) return;
    const due = this._acknowledged.filter(({ at }) => this._now - at > applyMs);
    const acknowledged = due.at(-1)?.version ?? FIRST_VERSION;
    for (const [entry, { version }] of this._entries.entries()) {
      if (version === undefined || version >= acknowledged) continue;
      const text = `${this._now} ms: entry ${entry} goes by ${version}, ${acknowledged} was acknowledged`;
      yield [`${entry}/${version}`, text];
    }
  }
}

function createDeclaration(version: number): Declaration {
  return create(DeclarationSchema, { version, document: new Uint8Array([version]) });
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
