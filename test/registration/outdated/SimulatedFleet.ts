/**
 * Control processes, entries and declarations under simulated time. Watchers, relays, hubs and persisted
 * views are the production classes; consensus, the network between the processes and the disks are models.
 */

import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import type { Clock } from "../../../src/clock";
import { pause } from "../../../src/clock";
import { createMembership, MemoryLog, SeededRandom } from "../../../src/consensus";
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

const CONTROL_COUNT = 5;
const MAJORITY = 3;
const ENTRY_COUNT = 6;
/** Time from the return of power to a running process. */
const STARTUP_MS = 800;
/** Shortest and longest time from the start of a majority to a leader that has committed. */
const ELECTION_MIN_MS = 1_200;
const ELECTION_MAX_MS = 2_400;
/** Interval at which a leader sends its commit index to the other control processes. */
const APPEND_INTERVAL_MS = 100;
const ACKNOWLEDGEMENT_DELAY_MS = 50;
const FIRST_VERSION = 8;

const NO_LOGGER = { info: () => {}, warn: () => {}, error: () => {} } as never;
const NO_METRICS = { increment: () => {}, timing: () => {}, gauge: () => {} } as never;

/** The consensus state of one fleet: a list of committed declarations. */
class SimulatedConsensus {
  readonly committed: Declaration[] = [createDeclaration(FIRST_VERSION)];
  term = 1;
  /** Index of the process that leads and has committed in its term. */
  leader: number | undefined = 0;
  /** Until this time the leader answers no watcher, as under overload; consensus continues. */
  overloadedUntil = 0;
}

class SimulatedControl {
  readonly address: string;
  private readonly _index: number;
  private readonly _fleet: SimulatedFleet;
  private _relay: FleetRelay | undefined;
  private _persistedView: PersistedView | undefined;
  private _calls: ControlCallCounter | undefined;
  private _leadership: { term: number; view: FleetView } | undefined;
  private _applied = 0;
  private _listeners: (() => void)[] = [];
  private _routes:
    | { watch(request: WatchRequest, context: { signal: AbortSignal }): AsyncIterable<unknown> }
    | undefined;
  private _stopSignal = new AbortController();
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
    const { consensus, clock } = fleet;
    this._stopSignal = new AbortController();
    this._applied = 0;
    this._listeners = [];
    const persistedView = await PersistedView.open(this.address, NO_LOGGER);
    this._persistedView = persistedView;
    const driver = {
      node: {
        id: this.address,
        get term() {
          return consensus.term;
        },
        commitIndex: 0,
        log: new MemoryLog(createMembership([])),
        get leaderId() {
          return fleet.isLeaderUp(consensus.leader) ? `c${consensus.leader}:1` : "";
        },
        isElecting: () => !fleet.isLeaderUp(consensus.leader) && fleet.upCount >= MAJORITY,
        getQuorumContactAt: (now: number) => now,
      },
      machine: {
        getDeclaration: () => consensus.committed[this._applied - 1],
        getReplica: () => undefined,
        getKnownReplicas: () => [],
        getDepartures: () => [],
        hasDeparted: () => false,
      },
      getCaughtUpContactAt: () => (fleet.isLeaderUp(consensus.leader) ? this._appendedAt : undefined),
      isLeader: () => consensus.leader === index,
      getLeaderAddress: () => (fleet.isLeaderUp(consensus.leader) ? `c${consensus.leader}:1` : ""),
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
      recovered: persistedView.recovered,
      isFirstStart: false,
      clock,
      logger: NO_LOGGER,
      getReportTimeoutMs: () => 300,
    });
    this._relay = relay;
    this._calls = new ControlCallCounter(NO_LOGGER, NO_METRICS);
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
    persistedView.start(
      () => relay.hub.getSource(),
      () => clock.getMonotonicMs(),
      () => relay.committedDeclaration,
    );
  }

  stop(): void {
    this._stopSignal.abort();
    this._relay?.stop();
    this._persistedView?.stop();
    this._calls?.stop();
    this._relay = undefined;
    this._leadership = undefined;
  }

  becomeLeader(): void {
    const view = new FleetView();
    view.setControlAddresses(this._fleet.addresses.filter((address) => address !== this.address));
    view.setComplete();
    this._leadership = { term: this._fleet.consensus.term, view };
    this.apply();
  }

  /** Applies the committed declarations, as a leader or as a follower. */
  apply(): void {
    const { consensus, clock } = this._fleet;
    this._appendedAt = clock.getMonotonicMs();
    while (this._applied < consensus.committed.length) {
      this._applied += 1;
      for (const listener of this._listeners) listener();
    }
    if (this._leadership === undefined) return;
    this._leadership.view.setDeclaration(consensus.committed[this._applied - 1]);
    this._relay?.hub.notify();
  }

  private _createClient(): object {
    const refuse = () => {
      throw new ConnectError("the simulation does not serve this call", Code.Unavailable);
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
    await pause(1);
    if (!this.isUp) throw new ConnectError("refused", Code.Unavailable);
    const ended = AbortSignal.any([signal, this._stopSignal.signal]);
    await this._waitWhileOverloaded(ended);
    for await (const update of this._routes!.watch(request, { signal: ended })) {
      await this._waitWhileOverloaded(ended);
      yield update;
    }
    if (ended.aborted) throw new ConnectError("ended", Code.Unavailable);
  }

  private async _waitWhileOverloaded(signal: AbortSignal): Promise<void> {
    const { consensus, clock } = this._fleet;
    const isOverloaded = () =>
      consensus.leader === this._index && clock.getMonotonicMs() < consensus.overloadedUntil;
    while (isOverloaded() && !signal.aborted) await pause(20);
    if (signal.aborted) throw new ConnectError("ended", Code.Unavailable);
  }
}

class SimulatedEntry {
  /** Version of the declaration by which the entry handles requests. */
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
      getEntry: () => create(EntryEndpointSchema, { address: `${this._id}:1`, failureDomain: "a" }),
      getSeeds: () => this._fleet.addresses,
      orderCandidates: (addresses) => orderByAffinity(this._id, addresses),
      transports: new TransportPool(undefined),
      view,
      clock: this._fleet.clock,
      logger: NO_LOGGER,
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

/** Limits of a run, in milliseconds. */
export interface FleetLimits {
  /** The check starts this long after the last outage has ended. */
  readonly settlingMs: number;
  /** After this time every entry must use an acknowledged declaration. */
  readonly applyMs: number;
}

/** The faults of a run; times in milliseconds from its start. */
export interface FleetFaults {
  readonly endMs: number;
  /** Times at which all control processes lose power for a second. */
  readonly controlOutagesAt: readonly number[];
  /** Times at which all entries lose power for a second. */
  readonly entryOutagesAt: readonly number[];
  /** For each new leader in turn, how long after its election it answers no watcher. */
  readonly overloadsMs: readonly number[];
  readonly declarationIntervalMs: number;
}

const OUTAGE_MS = 1_000;
const STEP_MS = 10;

/** A simulated fleet of control processes and entries. */
export class SimulatedFleet {
  readonly consensus = new SimulatedConsensus();
  readonly clock: Clock = { getMonotonicMs: () => this._now, getWallMs: () => this._now };
  readonly addresses: readonly string[] = Array.from({ length: CONTROL_COUNT }, (_, i) => `c${i}:1`);
  readonly clients: SimulatedClients;
  private readonly _advance: (ms: number) => Promise<unknown>;
  private readonly _random: SeededRandom;
  private readonly _controls: SimulatedControl[];
  private readonly _entries = Array.from({ length: ENTRY_COUNT }, (_, i) => new SimulatedEntry(this, i));
  private readonly _acknowledged: { version: number; at: number }[] = [];
  private _now = 0;
  private _outageChangedAt = 0;
  private _electedAt = Number.POSITIVE_INFINITY;
  private _timeline: { at: number; run: () => void | Promise<void> }[] = [];

  /**
   * @param clients - Receives a client for each control process.
   * @param advance - Advances the timers by the given number of milliseconds.
   */
  constructor(seed: number, clients: SimulatedClients, advance: (ms: number) => Promise<unknown>) {
    this._random = new SeededRandom(seed);
    this.clients = clients;
    this._advance = advance;
    this._controls = this.addresses.map((_, i) => new SimulatedControl(this, i));
  }

  /** Gets the number of acknowledged declarations. */
  get acknowledgedCount(): number {
    return this._acknowledged.length;
  }

  get upCount(): number {
    return this._controls.filter((control) => control.isUp).length;
  }

  /** Checks whether there is a leader and its process runs. */
  isLeaderUp(leader: number | undefined): boolean {
    return leader !== undefined && this._controls[leader]!.isUp;
  }

  /**
   * Runs the faults; for each entry and outdated version, returns when the entry first used it although a
   * newer one was in force.
   */
  async run(faults: FleetFaults, limits: FleetLimits): Promise<string[]> {
    const outdatedUses = new Map<string, string>();
    for (const control of this._controls) await control.start();
    this._controls[0]!.becomeLeader();
    for (const entry of this._entries) entry.start();
    this._scheduleFaults(faults);
    while (this._now < faults.endMs) {
      await this._step(faults);
      for (const [key, description] of this._findOutdated(limits))
        if (!outdatedUses.has(key)) outdatedUses.set(key, description);
    }
    for (const control of this._controls) control.stop();
    for (const entry of this._entries) entry.stop();
    await this._advance(5_000);
    return [...outdatedUses.values()];
  }

  private _scheduleFaults({ controlOutagesAt, entryOutagesAt }: FleetFaults): void {
    for (const at of controlOutagesAt) {
      this._timeline.push({ at, run: () => this._stopControls() });
      this._timeline.push({ at: at + OUTAGE_MS, run: () => this._recordOutageChange() });
      this._timeline.push({ at: at + OUTAGE_MS + STARTUP_MS, run: () => this._startControls() });
    }
    for (const at of entryOutagesAt) {
      this._timeline.push({ at, run: () => this._stopEntries() });
      this._timeline.push({ at: at + OUTAGE_MS, run: () => this._recordOutageChange() });
      this._timeline.push({ at: at + OUTAGE_MS + STARTUP_MS / 2, run: () => this._startEntries() });
    }
    this._timeline.sort((a, b) => a.at - b.at);
  }

  private async _step({ declarationIntervalMs, overloadsMs }: FleetFaults): Promise<void> {
    while ((this._timeline[0]?.at ?? Number.POSITIVE_INFINITY) <= this._now)
      await this._timeline.shift()!.run();
    if (this._now >= this._electedAt) this._elect(overloadsMs);
    if (this._now % declarationIntervalMs === 0) this._declare();
    if (this._now % APPEND_INTERVAL_MS === 0 && this.isLeaderUp(this.consensus.leader)) {
      for (const control of this._controls) if (control.isUp) control.apply();
    }
    await this._advance(STEP_MS);
    this._now += STEP_MS;
  }

  private _recordOutageChange(): void {
    this._outageChangedAt = this._now;
  }

  private _stopControls(): void {
    this._recordOutageChange();
    for (const control of this._controls) control.stop();
    this.consensus.leader = undefined;
    this._electedAt = Number.POSITIVE_INFINITY;
  }

  private async _startControls(): Promise<void> {
    for (const control of this._controls) await control.start();
    this._electedAt = this._now + ELECTION_MIN_MS + this._drawInteger(ELECTION_MAX_MS - ELECTION_MIN_MS);
  }

  private _stopEntries(): void {
    this._recordOutageChange();
    for (const entry of this._entries) entry.stop();
  }

  private _startEntries(): void {
    for (const entry of this._entries) entry.start();
  }

  private _elect(overloadsMs: readonly number[]): void {
    this._electedAt = Number.POSITIVE_INFINITY;
    this.consensus.term += 1;
    this.consensus.leader = this._drawInteger(CONTROL_COUNT);
    // The initial leader has the first term and no overload.
    this.consensus.overloadedUntil = this._now + (overloadsMs[this.consensus.term - 2] ?? 0);
    this._controls[this.consensus.leader]!.becomeLeader();
  }

  private _declare(): void {
    const { committed, leader } = this.consensus;
    if (!this.isLeaderUp(leader)) return;
    const version = committed.at(-1)!.version + 1;
    committed.push(createDeclaration(version));
    this._controls[leader!]!.apply();
    this._acknowledged.push({ version, at: this._now + ACKNOWLEDGEMENT_DELAY_MS });
  }

  private _drawInteger(below: number): number {
    return Math.floor(this._random.next() * below);
  }

  private *_findOutdated({ settlingMs, applyMs }: FleetLimits): Generator<[string, string]> {
    if (this._now - this._outageChangedAt < settlingMs) return;
    const due = this._acknowledged.filter(({ at }) => this._now - at > applyMs);
    const acknowledged = due.at(-1)?.version ?? FIRST_VERSION;
    for (const [entry, { version }] of this._entries.entries()) {
      if (version === undefined || version >= acknowledged) continue;
      const text = `${this._now} ms: entry ${entry} uses declaration ${version} although ${acknowledged} was acknowledged`;
      yield [`${entry}/${version}`, text];
    }
  }
}

function createDeclaration(version: number): Declaration {
  return create(DeclarationSchema, { version, document: new Uint8Array([version]) });
}
