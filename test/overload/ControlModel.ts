/**
 * One control process in simulated time. The agreement, the relay of reports, the contact with the leader,
 * the roster of relays and the pace of planning are the product's own; what each thing costs is given.
 * Times are milliseconds.
 */
import { create } from "@bufbuild/protobuf";
import { createMembership, DEFAULT_TIMING, RaftNode, type Ready, SeededRandom } from "../../src/consensus";
import {
  type ConsensusMessage,
  type HardState,
  HardStateSchema,
  type LogEntry,
  type Membership,
  type Snapshot,
  SnapshotSchema,
} from "../../src/gen/ploverstage/v1/consensus_pb";
import { type InstanceReport, InstanceReportSchema } from "../../src/gen/ploverstage/v1/fleet_pb";
import { LeaderContact } from "../../src/registration/LeaderContact";
import { PlanningSchedule } from "../../src/registration/PlanningSchedule";
import { RelayRoster } from "../../src/registration/RelayRoster";
import { type RelayBatch, ReportRelay } from "../../src/registration/ReportRelay";
import type { Costs } from "./costs";
import { LeaderCalls } from "./LeaderClientModel";
import type { Call, Network, Place } from "./Network";
import { Processor } from "./Processor";
import type { Occasion, Simulation } from "./Simulation";
import { type Update, type Watch, Watcher } from "./Watcher";
import type { Discipline, WorkKind } from "./WorkQueue";

/** What all control processes work with. */
export interface World {
  readonly simulation: Simulation;
  readonly network: Network;
  readonly costs: Costs;
  readonly seed: number;
  /** Instances and entries are so many times as many as at size 1. */
  readonly size: number;
  /** All control processes. */
  readonly processes: readonly ControlModel[];
  readonly founders: Membership;
  /**
   * Whether a watcher that holds a newer view than a process can show stays with it; it is shown the older one
   * in full otherwise, and goes on to the next process.
   */
  readonly keepsWatchers: boolean;
  /** Whether a process speaks for a leader that it follows in the agreement before it is shown its view. */
  readonly speaksByAgreement: boolean;
  /** Whether a refused entry turns to the leader by name. */
  readonly sendsEntriesToLeader: boolean;
  /** Whether an entry tells of all targets that stand still in one call, and followers tell the leader with their reports. */
  readonly gathersSuspicions: boolean;
  /** Gives how many targets stand still now: entries can't replace them before a leader has shown its view. */
  readonly countStalledTargets: () => number;
}

interface Waiting {
  readonly term: number;
  readonly answer: () => void;
  readonly refuse: () => void;
}

/** A leader's soft state of one term. */
interface Leadership {
  readonly term: number;
  readonly relays: RelayRoster;
  readonly pace: PlanningSchedule;
  /** Sequence number of the content that is known of each instance. */
  readonly known: Map<string, number>;
  revision: number;
  published: number;
}

/** A watcher of this process. */
interface Shown {
  readonly watch: Watch;
  /** Whether it was shown the view already, and not only signs of life. */
  isFull: boolean;
  revision: number;
}

/** As in the product. */
const TICK_MS = 20;
const DECLARATION_MS = 3_000;
const READ_MS = 900;
const NEWS_MS = 15;
const SIGN_MS = 400;
const FIRST_PATIENCE_MS = 1_500;
const MAX_PATIENCE_MS = 3_000;
const MAX_REPORTS = 40;
const WATCH_PATIENCE_MS = 2_200;
const ISOLATED_PATIENCE_MS = 1_500;
const REPORT_PATIENCE_MS = 2_100;
const WATCH_HEARTBEAT_MS = 300;
export const SUSPICION_MS = 500;
/** Of one target by one process, where each is told by itself. */
const SUSPICION_PAUSE_MS = 300;
/** Code of a process that has run for as long is compiled. */
const LONG_AGO_MS = -60_000;

/** A control process. */
export class ControlModel implements Place {
  readonly processor: Processor;
  /** Reports of instances that were taken here. */
  taken = 0;
  isPowered = true;
  /** Highest version that the agreement has given to this process. */
  version = 0;
  private readonly _world: World;
  private readonly _index: number;
  private _hardState: HardState = create(HardStateSchema, {});
  private _snapshot: Snapshot | undefined;
  private _entries: LogEntry[] = [];
  private _life = 0;
  private _node: RaftNode | undefined;
  private _relay = new ReportRelay();
  private _contact = new LeaderContact(0);
  private _calls: LeaderCalls | undefined;
  private _watcher: Watcher | undefined;
  private _leadership: Leadership | undefined;
  private _followedTerm = 0;
  private _controls: readonly string[] = [];
  private _viewRevision = 0;
  private _shown = new Set<Shown>();
  /** When the leader was told of a target last, where each is told by itself. */
  private readonly _suspectedAt = new Map<number, number>();
  private _proposals = new Map<number, Waiting>();
  private _barriers = new Map<number, Waiting>();
  private _isSending = false;
  private _sendDue: Occasion | undefined;
  private _patienceMs = FIRST_PATIENCE_MS;
  private _electing = { at: -1, is: false };

  constructor(
    readonly name: string,
    index: number,
    world: World,
    discipline: Discipline,
  ) {
    this._index = index;
    this._world = world;
    this.processor = new Processor(world.simulation, discipline, world.costs);
    this._snapshot = create(SnapshotSchema, { membership: world.founders });
  }

  /** Gets whether it leads and has committed in its term. */
  get leads(): boolean {
    return this._node?.isEstablished() === true;
  }

  /** Gets the term of its agreement. */
  get term(): number {
    return this._node?.term ?? 0;
  }

  /** Starts the process. */
  start(isCold: boolean): void {
    const { simulation, seed, processes } = this._world;
    const { now } = simulation;
    this._life += 1;
    const life = this._life;
    this.isPowered = true;
    this.processor.start(isCold ? now : LONG_AGO_MS);
    this._node = new RaftNode({
      id: this.name,
      membership: createMembership([]),
      hardState: this._hardState,
      snapshot: this._snapshot,
      entries: this._entries,
      timing: DEFAULT_TIMING,
      random: new SeededRandom(seed * 1_000 + this._index * 50 + life),
      now,
    });
    this._relay = new ReportRelay();
    this._contact = new LeaderContact(now);
    this._followedTerm = 0;
    this._patienceMs = FIRST_PATIENCE_MS;
    const isRunning = () => life === this._life && this.processor.isRunning;
    this._calls = new LeaderCalls({
      simulation,
      places: processes,
      getLeader: () => this._node?.leaderId ?? "",
      isRunning,
    });
    this._watcher = this._createWatcher(isRunning);
    this._watcher.run();
    this._tick(isRunning);
    this._schedule(SIGN_MS);
  }

  /** Ends the process. */
  stop(losesPower: boolean): void {
    this._life += 1;
    this.processor.stop();
    this.isPowered = !losesPower;
    this._node = undefined;
    this._leadership = undefined;
    this._proposals.clear();
    this._barriers.clear();
    if (this._sendDue !== undefined) this._sendDue.isOff = true;
    this._sendDue = undefined;
    this._isSending = false;
    // What lost its power says no end to anybody.
    if (!losesPower) for (const { watch } of this._shown) watch.end();
    this._shown = new Set();
  }

  /** Gets what an instance's report costs. */
  getReportCostMs(): number {
    const { reportMs, refusalMs } = this._world.costs;
    return this.leads || this._isInTouch(REPORT_PATIENCE_MS) ? reportMs : refusalMs;
  }

  /** Takes an instance's report; answers with the process for the next ones. */
  serveReport(instanceId: string, sequence: number, call: Call<string>): void {
    const { now } = this._world.simulation;
    const leadership = this._updateLeadership();
    if (leadership !== undefined) {
      this._learn(leadership, instanceId, sequence, sequence);
      call.answer(leadership.relays.chooseRelay(now, instanceId) ?? this.name);
    } else if (this._isInTouch(REPORT_PATIENCE_MS)) {
      if (this._relay.addReport(now, createReport(instanceId, sequence))) this._schedule(NEWS_MS);
      call.answer(this.name);
    } else {
      call.refuse("");
      return;
    }
    if (call.isWanted()) this.taken += 1;
  }

  /** Serves an operator's declaration. */
  servePut(version: number, call: Call<number>): void {
    this._callLeader<number>(
      "declaration",
      DECLARATION_MS,
      DECLARATION_MS / 2,
      (leader, sent) => leader._serveLeaderPut(version, sent),
      (answer) => (answer === undefined ? call.refuse("") : call.answer(answer)),
    );
  }

  /** Serves an operator's read. */
  serveRead(call: Call<number>): void {
    this._callLeader<number>(
      "read",
      READ_MS,
      0,
      (leader, sent) => leader._serveLeaderRead(sent),
      (answer) => (answer === undefined ? call.refuse("") : call.answer(answer)),
    );
  }

  /** Takes what an entry saw of one target, or of all of them together. */
  serveSuspicion(target: number, call: Call<void>): void {
    call.answer();
    if (this._world.gathersSuspicions || this.leads) return;
    const { simulation, network, costs, processes } = this._world;
    const leader = processes.find(({ name }) => name === this._node?.leaderId);
    const toldAt = this._suspectedAt.get(target) ?? Number.NEGATIVE_INFINITY;
    if (leader === undefined || simulation.now - toldAt < SUSPICION_PAUSE_MS) return;
    this._suspectedAt.set(target, simulation.now);
    network.call<void>({
      from: this,
      to: leader,
      kind: "report",
      timeoutMs: SUSPICION_MS,
      getCostMs: () => costs.callMs,
      serve: (relayed) => relayed.answer(),
      onEnd: () => {},
    });
  }

  /** Gets what beginning a watch costs. */
  getWatchCostMs(watch: Watch): number {
    const { firstViewMs, refusalMs, signMs } = this._world.costs;
    const term = this._getShownTerm(watch.isEntry);
    if (term === undefined) return refusalMs;
    return this._isKept(watch, term) ? signMs : firstViewMs;
  }

  /** Shows a watcher the view until there is none any more. */
  serveWatch(watch: Watch): void {
    const term = this._getShownTerm(watch.isEntry);
    if (term === undefined) {
      const isNamed = !watch.isEntry || this._world.sendsEntriesToLeader;
      watch.refuse(isNamed ? (this._node?.leaderId ?? "") : "");
      return;
    }
    const isFull = !this._isKept(watch, term);
    const shown: Shown = { watch, isFull, revision: this._getRevision() };
    this._shown.add(shown);
    watch.show(this._createUpdate(watch, term));
    this._goOnShowing(shown);
  }

  private _goOnShowing(shown: Shown): void {
    const { simulation, costs } = this._world;
    const life = this._life;
    const { watch } = shown;
    simulation.addAfter(WATCH_HEARTBEAT_MS, () => {
      if (life !== this._life) return;
      const isNews = shown.revision !== this._getRevision();
      this.processor.add({
        kind: "update",
        getCostMs: () => (isNews ? (shown.isFull ? costs.updateMs : costs.firstViewMs) : costs.signMs),
        isWanted: watch.isWanted,
        refuse: () => this._goOnShowing(shown),
        run: () => this._showNext(shown),
      });
      if (!watch.isWanted()) this._shown.delete(shown);
    });
  }

  private _showNext(shown: Shown): void {
    const { watch } = shown;
    const term = this._getShownTerm(watch.isEntry);
    if (!watch.isWanted() || term === undefined) {
      this._shown.delete(shown);
      watch.end();
      return;
    }
    shown.revision = this._getRevision();
    shown.isFull ||= !this._isKept(watch, term);
    watch.show(this._createUpdate(watch, term));
    this._goOnShowing(shown);
  }

  /** Gets the term of the view that a watcher is shown; `undefined` where there is none. */
  private _getShownTerm(isEntry: boolean): number | undefined {
    const leadership = this._updateLeadership();
    if (leadership !== undefined) return leadership.term;
    if (!isEntry) return undefined;
    const patienceMs = this._node?.leaderId === "" ? ISOLATED_PATIENCE_MS : WATCH_PATIENCE_MS;
    return this._isInTouch(patienceMs) ? this._followedTerm : undefined;
  }

  private _getRevision(): number {
    return this._leadership?.published ?? this._viewRevision;
  }

  private _isKept(watch: Watch, term: number): boolean {
    return this._world.keepsWatchers && term < watch.term;
  }

  private _createUpdate(watch: Watch, term: number): Update {
    if (this._isKept(watch, term)) return { term, controls: [], isSign: true };
    const others = this._world.processes.filter((process) => process !== this).map(({ name }) => name);
    return { term, controls: this._leadership === undefined ? this._controls : others, isSign: false };
  }

  private _createWatcher(isRunning: () => boolean): Watcher {
    const { simulation, processes } = this._world;
    return new Watcher({
      simulation,
      isEntry: false,
      places: processes,
      getCandidates: () => {
        const leader = this._node?.leaderId ?? "";
        return leader === "" || leader === this.name ? [] : [leader];
      },
      isWanted: () => !this.leads,
      isRunning,
      getTerm: () => this._followedTerm,
      open: (to, watch) => openWatch(this._world, this, to as ControlModel, watch),
      onUpdate: ({ term, controls }) => {
        if (term < this._followedTerm) return false;
        this._followedTerm = term;
        this._controls = controls;
        this._viewRevision += 1;
        this._contact.addContact(simulation.now);
        return true;
      },
    });
  }

  private _isInTouch(patienceMs: number): boolean {
    const { now } = this._world.simulation;
    this._noteLeadership();
    return this._contact.isRecent(now, patienceMs) || this._isElecting(now);
  }

  /** Asked for each call: within a moment the answer stays. */
  private _isElecting(now: number): boolean {
    if (this._electing.at !== now) this._electing = { at: now, is: this._node?.isElecting(now) === true };
    return this._electing.is;
  }

  private _noteLeadership(): void {
    const { simulation, speaksByAgreement } = this._world;
    if (this.leads) this._contact.addContact(this._node!.getQuorumContactAt(simulation.now));
    else if (speaksByAgreement) this._noteFollowed();
  }

  private _noteFollowed(): void {
    const contactAt = this._node?.getLeaderContactAt();
    if (contactAt !== undefined) this._contact.addContact(contactAt);
  }

  private _callLeader<R>(
    kind: WorkKind,
    totalMs: number,
    leastMs: number,
    serve: (leader: ControlModel, call: Call<R>) => void,
    onEnd: (answer: R | undefined) => void,
    getCostMs = () => this._world.costs.callMs,
  ): void {
    const { network, costs } = this._world;
    this._calls!.call<R>(
      (to, timeoutMs, onTry) => {
        const leader = to as ControlModel;
        network.call<R>({
          from: this,
          to,
          kind,
          timeoutMs: Math.max(timeoutMs, leastMs),
          getCostMs: () => (leader.leads ? getCostMs() : costs.refusalMs),
          serve: (call) => serve(leader, call),
          onEnd: onTry,
        });
      },
      totalMs,
      onEnd,
    );
  }

  private _serveLeaderPut(version: number, call: Call<number>): void {
    const node = this._node!;
    const index = this.leads
      ? node.addCommand(this._world.simulation.now, new Uint8Array([version >> 8, version & 255]))
      : undefined;
    if (index === undefined) {
      call.refuse(node.leaderId);
      return;
    }
    const refuse = () => call.refuse("");
    this._proposals.set(index, { term: node.term, answer: () => call.answer(version), refuse });
    this._pump();
  }

  private _serveLeaderRead(call: Call<number>): void {
    const node = this._node!;
    const id = this.leads ? node.addBarrier(this._world.simulation.now) : undefined;
    if (id === undefined) {
      call.refuse(node.leaderId);
      return;
    }
    const refuse = () => call.refuse("");
    this._barriers.set(id, { term: node.term, answer: () => call.answer(this.version), refuse });
    this._pump();
  }

  private _serveRelay(
    from: string,
    { reports, signs }: RelayBatch,
    call: Call<{ readonly term: number; readonly unknown: readonly string[] }>,
  ): void {
    const leadership = this._updateLeadership();
    if (leadership === undefined) {
      call.refuse(this._node?.leaderId ?? "");
      return;
    }
    leadership.relays.addReport(this._world.simulation.now, from, undefined);
    for (const { instanceId, sequence } of reports) this._learn(leadership, instanceId, sequence, sequence);
    const unknown = signs
      .filter(({ instanceId }) => !leadership.known.has(instanceId))
      .map(({ instanceId }) => instanceId);
    call.answer({ term: leadership.term, unknown });
  }

  private _learn(leadership: Leadership, instanceId: string, sequence: number, content: number): void {
    if (!leadership.known.has(instanceId)) leadership.revision += 1;
    if (sequence > 0) leadership.known.set(instanceId, content);
  }

  private _schedule(milliseconds: number): void {
    const { simulation } = this._world;
    const at = simulation.now + milliseconds;
    if (this._sendDue !== undefined && at >= this._sendDue.at) return;
    if (this._sendDue !== undefined) this._sendDue.isOff = true;
    this._sendDue = simulation.addAfter(milliseconds, () => {
      this._sendDue = undefined;
      if (!this._isSending) this._sendReports();
    });
  }

  /** As `ReportSender` tells the leader. */
  private _sendReports(): void {
    const { simulation, costs } = this._world;
    if (this.leads || this._node!.leaderId === "") {
      this._schedule(SIGN_MS);
      return;
    }
    const batch = this._relay.takeBatch(simulation.now, MAX_REPORTS);
    this._isSending = true;
    const costMs =
      costs.callMs + batch.reports.length * costs.relayedReportMs + batch.signs.length * costs.relayedSignMs;
    this._callLeader<{ readonly term: number; readonly unknown: readonly string[] }>(
      "relay",
      this._patienceMs,
      0,
      (leader, call) => leader._serveRelay(this.name, batch, call),
      (answer) => {
        this._isSending = false;
        if (answer === undefined) this._relay.restoreBatch(batch);
        else this._relay.addAnswer(answer.term, answer.unknown);
        this._patienceMs =
          answer === undefined ? Math.min(MAX_PATIENCE_MS, this._patienceMs * 2) : FIRST_PATIENCE_MS;
        this._schedule(answer !== undefined && this._relay.hasUpdates() ? NEWS_MS : SIGN_MS);
      },
      () => costMs,
    );
  }

  private _tick(isRunning: () => boolean): void {
    if (!isRunning()) return;
    const { simulation } = this._world;
    this._node!.tick(simulation.now);
    this._pump();
    this._updateLeadership();
    this._plan();
    simulation.addAfter(TICK_MS, () => this._tick(isRunning));
  }

  private _pump(): void {
    const node = this._node!;
    while (node.hasReady()) {
      const ready = node.takeReady();
      this._persist(ready);
      for (const message of [...ready.immediateMessages, ...ready.durableMessages]) this._send(message);
      for (const { index, body } of ready.committed) this._apply(index, body);
      for (const { id } of ready.confirmed) {
        this._barriers.get(id)?.answer();
        this._barriers.delete(id);
      }
    }
    this._refuseLost();
  }

  private _persist({ hardState, entries }: Ready): void {
    if (hardState !== undefined) this._hardState = hardState;
    for (const entry of entries) {
      this._entries = this._entries.filter(({ index }) => index < entry.index);
      this._entries.push(entry);
    }
    const last = entries.at(-1);
    if (last !== undefined) this._node!.setDurable(last.index, last.term);
  }

  private _send(message: ConsensusMessage): void {
    const { network, processes, simulation, costs } = this._world;
    if (message.to === this.name) {
      this._node!.receive(simulation.now, message);
      return;
    }
    const to = processes.find(({ name }) => name === message.to)!;
    network.send(this, to, costs.agreementMs, () => to._receive(message));
  }

  private _receive(message: ConsensusMessage): void {
    this._node!.receive(this._world.simulation.now, message);
    this._pump();
  }

  private _apply(index: number, body: LogEntry["body"]): void {
    if (body.case === "command" && body.value.length === 2) {
      this.version = Math.max(this.version, body.value[0]! * 256 + body.value[1]!);
      if (this._leadership !== undefined) this._leadership.revision += 1;
    }
    const waiting = this._proposals.get(index);
    this._proposals.delete(index);
    if (waiting === undefined) return;
    if (waiting.term === this._node!.term) waiting.answer();
    else waiting.refuse();
  }

  /** What waited for an answer as the leader learns that there will be none. */
  private _refuseLost(): void {
    for (const waiting of [this._proposals, this._barriers]) {
      for (const [key, { term, refuse }] of waiting) {
        if (this.leads && term === this._node!.term) continue;
        waiting.delete(key);
        refuse();
      }
    }
  }

  /** The soft state of a leader begins with its term. */
  private _updateLeadership(): Leadership | undefined {
    if (!this.leads) {
      this._leadership = undefined;
      return undefined;
    }
    if (this._leadership?.term === this._node!.term) return this._leadership;
    this._leadership = {
      term: this._node!.term,
      relays: new RelayRoster(),
      pace: new PlanningSchedule(this._world.simulation.now),
      known: new Map(),
      revision: 1,
      published: 0,
    };
    this._work("plan", this._world.costs.firstPlanMs * this._world.size, () => {});
    return this._leadership;
  }

  private _plan(): void {
    const leadership = this._leadership;
    if (leadership === undefined) return;
    const { simulation, costs, size } = this._world;
    if (!leadership.pace.isDue(simulation.now, String(leadership.revision))) return;
    leadership.pace.addStart();
    const { revision } = leadership;
    const costMs = costs.planMs * size;
    this._work("plan", costMs, () => {
      leadership.published = revision;
      leadership.pace.addEnd(simulation.now, costMs / costs.share);
    });
  }

  private _work(kind: WorkKind, costMs: number, run: () => void): void {
    this.processor.add({ kind, getCostMs: () => costMs, isWanted: () => true, run, refuse: run });
  }
}

/** Has a process asked to show its view, by an entry or by another control process. */
export function openWatch(
  world: World,
  from: ControlModel | undefined,
  to: ControlModel,
  watch: Watch,
): void {
  const { network, simulation, costs } = world;
  const wayMs = from === undefined ? 3 : 1.5;
  const isWhole = () => from === undefined || network.isWhole(from.name, to.name);
  const goBack = (run: () => void) => {
    if (!isWhole()) return;
    simulation.addAfter(wayMs, () => {
      if (from === undefined) run();
      else
        from.processor.add({
          kind: "answer",
          getCostMs: () => costs.answerMs,
          isWanted: watch.isWanted,
          run,
          refuse: () => {},
        });
    });
  };
  const far: Watch = {
    isEntry: watch.isEntry,
    term: watch.term,
    isWanted: watch.isWanted,
    show: (update) => goBack(() => watch.show(update)),
    refuse: (leader) => goBack(() => watch.refuse(leader)),
    end: () => goBack(() => watch.end()),
  };
  if (!isWhole()) return;
  simulation.addAfter(wayMs, () => {
    if (!to.isPowered) return;
    if (!to.processor.isRunning) far.refuse("");
    else
      to.processor.add({
        kind: "watch",
        getCostMs: () => to.getWatchCostMs(watch),
        isWanted: watch.isWanted,
        run: () => to.serveWatch(far),
        refuse: () => far.refuse(""),
      });
  });
}

const REPORT = create(InstanceReportSchema, { service: "models" });

function createReport(instanceId: string, sequence: number): InstanceReport {
  return { ...REPORT, instanceId, sequence, address: instanceId };
}
