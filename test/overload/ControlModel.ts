/**
 * Models one control process in simulated time. Consensus, the report relay, leader contact, the relay roster
 * and the planning schedule are the product's own classes; the processor cost of each operation is a
 * parameter. Times are in milliseconds.
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
import { LeaderClientModel } from "./LeaderClientModel";
import type { Call, Network, Peer } from "./Network";
import { Processor } from "./Processor";
import type { ScheduledEvent, Simulation } from "./Simulation";
import { type Update, type Watch, Watcher } from "./Watcher";
import type { WorkKind, WorkQueue } from "./WorkQueue";

/** The environment that all control processes of a simulation share. */
export interface Environment {
  readonly simulation: Simulation;
  readonly network: Network;
  readonly costs: Costs;
  readonly seed: number;
  /** Multiplier of the instance and entry counts of size 1. */
  readonly size: number;
  /** All control processes. */
  readonly processes: readonly ControlModel[];
  readonly bootstrapMembers: Membership;
  /**
   * Whether a process keeps the stream of a watcher that holds a newer view and sends it heartbeats only.
   * Otherwise the process sends its older view in full, and the watcher switches to the next process.
   */
  readonly keepsNewerWatchers: boolean;
  /**
   * Whether contact with the leader through consensus lets a process accept calls on its behalf before it
   * receives the leader's view.
   */
  readonly usesConsensusContact: boolean;
  /** Whether a process that refuses an entry names the leader, so that the entry switches to it. */
  readonly redirectsEntriesToLeader: boolean;
  /**
   * Whether an entry reports all stalled targets in one call, and followers pass suspicions on with their
   * report batches.
   */
  readonly batchesSuspicions: boolean;
  /**
   * Gets the current number of stalled targets. Entries can't replace them before a leader has published its
   * view.
   */
  readonly countStalledTargets: () => number;
}

interface PendingRequest {
  readonly term: number;
  readonly answer: () => void;
  readonly refuse: () => void;
}

/** The soft state of a leader for one term. */
interface LeaderState {
  readonly term: number;
  readonly relays: RelayRoster;
  readonly schedule: PlanningSchedule;
  /** Sequence number of the last full report of each instance. */
  readonly reportSequences: Map<string, number>;
  revision: number;
  publishedRevision: number;
}

/** The stream of view updates to one watcher. */
interface ViewStream {
  readonly watch: Watch;
  /** Whether the watcher has received the view, not only heartbeats. */
  hasView: boolean;
  revision: number;
}

/** Timings of the product, in milliseconds. */
const TICK_MS = 20;
const DECLARATION_TIMEOUT_MS = 3_000;
const READ_TIMEOUT_MS = 900;
const UPDATE_DELAY_MS = 15;
const HEARTBEAT_INTERVAL_MS = 400;
const FIRST_RELAY_TIMEOUT_MS = 1_500;
const MAX_RELAY_TIMEOUT_MS = 3_000;
const MAX_BATCH_REPORTS = 40;
const WATCH_CONTACT_TIMEOUT_MS = 2_200;
const ISOLATED_CONTACT_TIMEOUT_MS = 1_500;
const REPORT_CONTACT_TIMEOUT_MS = 2_100;
const WATCH_UPDATE_INTERVAL_MS = 300;
export const SUSPICION_TIMEOUT_MS = 500;
/**
 * Minimum interval between two suspicions of one target that a process sends to the leader when it does not
 * batch them.
 */
const SUSPICION_INTERVAL_MS = 300;
/** Start time of a process whose code is compiled already. */
const WARM_STARTED_AT = -60_000;

export class ControlModel implements Peer {
  readonly processor: Processor;
  /** Number of instance reports that this process accepted. */
  acceptedReports = 0;
  isPowered = true;
  /** Highest configuration version that this process has applied from the log. */
  version = 0;
  private readonly _environment: Environment;
  private readonly _index: number;
  private _hardState: HardState = create(HardStateSchema, {});
  private _snapshot: Snapshot | undefined;
  private _entries: LogEntry[] = [];
  private _incarnation = 0;
  private _node: RaftNode | undefined;
  private _relay = new ReportRelay();
  private _contact = new LeaderContact(0);
  private _leaderClient: LeaderClientModel | undefined;
  private _watcher: Watcher | undefined;
  private _leaderState: LeaderState | undefined;
  private _followedTerm = 0;
  private _controls: readonly string[] = [];
  private _viewRevision = 0;
  private _viewStreams = new Set<ViewStream>();
  /** When this process last reported each target to the leader; used only if suspicions are not batched. */
  private readonly _suspectedAt = new Map<number, number>();
  private _pendingProposals = new Map<number, PendingRequest>();
  private _pendingReads = new Map<number, PendingRequest>();
  private _isSending = false;
  private _scheduledSend: ScheduledEvent | undefined;
  private _relayTimeoutMs = FIRST_RELAY_TIMEOUT_MS;
  private _electionCheck = { at: -1, isElecting: false };

  constructor(
    readonly name: string,
    index: number,
    environment: Environment,
    queue: WorkQueue,
  ) {
    this._index = index;
    this._environment = environment;
    this.processor = new Processor(environment.simulation, queue, environment.costs);
    this._snapshot = create(SnapshotSchema, { membership: environment.bootstrapMembers });
  }

  /** Checks whether this process leads and has committed an entry in its term. */
  get isLeader(): boolean {
    return this._node?.isEstablished() === true;
  }

  /** Gets the current consensus term; 0 while the process is stopped. */
  get term(): number {
    return this._node?.term ?? 0;
  }

  start(isCold: boolean): void {
    const { simulation, seed, processes } = this._environment;
    const { now } = simulation;
    this._incarnation += 1;
    const incarnation = this._incarnation;
    this.isPowered = true;
    this.processor.start(isCold ? now : WARM_STARTED_AT);
    this._node = new RaftNode({
      id: this.name,
      membership: createMembership([]),
      hardState: this._hardState,
      snapshot: this._snapshot,
      entries: this._entries,
      timing: DEFAULT_TIMING,
      random: new SeededRandom(seed * 1_000 + this._index * 50 + incarnation),
      now,
    });
    this._relay = new ReportRelay();
    this._contact = new LeaderContact(now);
    this._followedTerm = 0;
    this._relayTimeoutMs = FIRST_RELAY_TIMEOUT_MS;
    const isRunning = () => incarnation === this._incarnation && this.processor.isRunning;
    this._leaderClient = new LeaderClientModel({
      simulation,
      processes,
      getLeader: () => this._node?.leaderId ?? "",
      isRunning,
    });
    this._watcher = this._createWatcher(isRunning);
    this._watcher.run();
    this._tick(isRunning);
    this._scheduleSend(HEARTBEAT_INTERVAL_MS);
  }

  stop(losesPower: boolean): void {
    this._incarnation += 1;
    this.processor.stop();
    this.isPowered = !losesPower;
    this._node = undefined;
    this._leaderState = undefined;
    this._pendingProposals.clear();
    this._pendingReads.clear();
    if (this._scheduledSend !== undefined) this._scheduledSend.isCancelled = true;
    this._scheduledSend = undefined;
    this._isSending = false;
    // A process without power can't close its streams.
    if (!losesPower) for (const { watch } of this._viewStreams) watch.end();
    this._viewStreams = new Set();
  }

  /** Gets the processor time of an instance's report, or of its refusal, in milliseconds. */
  getReportCostMs(): number {
    const { reportMs, refusalMs } = this._environment.costs;
    return this.isLeader || this._hasRecentContact(REPORT_CONTACT_TIMEOUT_MS) ? reportMs : refusalMs;
  }

  /** Accepts an instance's report and answers with the name of the process that receives the next ones. */
  serveReport(instanceId: string, sequence: number, call: Call<string>): void {
    const { now } = this._environment.simulation;
    const leaderState = this._updateLeaderState();
    if (leaderState !== undefined) {
      this._recordReport(leaderState, instanceId, sequence, sequence);
      call.answer(leaderState.relays.chooseRelay(now, instanceId) ?? this.name);
    } else if (this._hasRecentContact(REPORT_CONTACT_TIMEOUT_MS)) {
      if (this._relay.addReport(now, createReport(instanceId, sequence))) this._scheduleSend(UPDATE_DELAY_MS);
      call.answer(this.name);
    } else {
      call.refuse("");
      return;
    }
    if (call.isWanted()) this.acceptedReports += 1;
  }

  serveDeclaration(version: number, call: Call<number>): void {
    this._callLeader<number>(
      "declaration",
      DECLARATION_TIMEOUT_MS,
      DECLARATION_TIMEOUT_MS / 2,
      (leader, sent) => leader._serveLeaderDeclaration(version, sent),
      (answer) => (answer === undefined ? call.refuse("") : call.answer(answer)),
    );
  }

  serveRead(call: Call<number>): void {
    this._callLeader<number>(
      "read",
      READ_TIMEOUT_MS,
      0,
      (leader, sent) => leader._serveLeaderRead(sent),
      (answer) => (answer === undefined ? call.refuse("") : call.answer(answer)),
    );
  }

  /** Accepts an entry's suspicion of one target, or of all stalled targets together. */
  serveSuspicion(target: number, call: Call<void>): void {
    call.answer();
    if (this._environment.batchesSuspicions || this.isLeader) return;
    const { simulation, network, costs, processes } = this._environment;
    const leader = processes.find(({ name }) => name === this._node?.leaderId);
    const reportedAt = this._suspectedAt.get(target) ?? Number.NEGATIVE_INFINITY;
    if (leader === undefined || simulation.now - reportedAt < SUSPICION_INTERVAL_MS) return;
    this._suspectedAt.set(target, simulation.now);
    network.call<void>({
      from: this,
      to: leader,
      kind: "report",
      timeoutMs: SUSPICION_TIMEOUT_MS,
      getCostMs: () => costs.callMs,
      serve: (relayed) => relayed.answer(),
      onEnd: () => {},
    });
  }

  /** Gets the processor time to open a watch, in milliseconds. */
  getWatchCostMs(watch: Watch): number {
    const { firstViewMs, refusalMs, heartbeatMs } = this._environment.costs;
    const term = this._getViewTerm(watch.isEntry);
    if (term === undefined) return refusalMs;
    return this._hasNewerView(watch, term) ? heartbeatMs : firstViewMs;
  }

  /** Sends view updates to a watcher until this process has no view to publish. */
  serveWatch(watch: Watch): void {
    const term = this._getViewTerm(watch.isEntry);
    if (term === undefined) {
      const namesLeader = !watch.isEntry || this._environment.redirectsEntriesToLeader;
      watch.refuse(namesLeader ? (this._node?.leaderId ?? "") : "");
      return;
    }
    const hasView = !this._hasNewerView(watch, term);
    const stream: ViewStream = { watch, hasView, revision: this._getRevision() };
    this._viewStreams.add(stream);
    watch.sendUpdate(this._createUpdate(watch, term));
    this._scheduleUpdate(stream);
  }

  private _scheduleUpdate(stream: ViewStream): void {
    const { simulation, costs } = this._environment;
    const incarnation = this._incarnation;
    const { watch } = stream;
    simulation.schedule(WATCH_UPDATE_INTERVAL_MS, () => {
      if (incarnation !== this._incarnation) return;
      const hasChanged = stream.revision !== this._getRevision();
      this.processor.add({
        kind: "update",
        getCostMs: () =>
          hasChanged ? (stream.hasView ? costs.updateMs : costs.firstViewMs) : costs.heartbeatMs,
        isWanted: watch.isWanted,
        refuse: () => this._scheduleUpdate(stream),
        run: () => this._sendUpdate(stream),
      });
      if (!watch.isWanted()) this._viewStreams.delete(stream);
    });
  }

  private _sendUpdate(stream: ViewStream): void {
    const { watch } = stream;
    const term = this._getViewTerm(watch.isEntry);
    if (!watch.isWanted() || term === undefined) {
      this._viewStreams.delete(stream);
      watch.end();
      return;
    }
    stream.revision = this._getRevision();
    stream.hasView ||= !this._hasNewerView(watch, term);
    watch.sendUpdate(this._createUpdate(watch, term));
    this._scheduleUpdate(stream);
  }

  /** Gets the term of the view for a watcher; `undefined` if this process has no view to publish. */
  private _getViewTerm(isEntry: boolean): number | undefined {
    const leaderState = this._updateLeaderState();
    if (leaderState !== undefined) return leaderState.term;
    if (!isEntry) return undefined;
    const timeoutMs = this._node?.leaderId === "" ? ISOLATED_CONTACT_TIMEOUT_MS : WATCH_CONTACT_TIMEOUT_MS;
    return this._hasRecentContact(timeoutMs) ? this._followedTerm : undefined;
  }

  private _getRevision(): number {
    return this._leaderState?.publishedRevision ?? this._viewRevision;
  }

  private _hasNewerView(watch: Watch, term: number): boolean {
    return this._environment.keepsNewerWatchers && term < watch.term;
  }

  private _createUpdate(watch: Watch, term: number): Update {
    if (this._hasNewerView(watch, term)) return { term, controls: [], isHeartbeat: true };
    const others = this._environment.processes.filter((process) => process !== this).map(({ name }) => name);
    return { term, controls: this._leaderState === undefined ? this._controls : others, isHeartbeat: false };
  }

  private _createWatcher(isRunning: () => boolean): Watcher {
    const { simulation, processes } = this._environment;
    return new Watcher({
      simulation,
      isEntry: false,
      processes,
      getCandidates: () => {
        const leader = this._node?.leaderId ?? "";
        return leader === "" || leader === this.name ? [] : [leader];
      },
      isWanted: () => !this.isLeader,
      isRunning,
      getTerm: () => this._followedTerm,
      open: (to, watch) => openWatch(this._environment, this, to as ControlModel, watch),
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

  private _hasRecentContact(timeoutMs: number): boolean {
    const { now } = this._environment.simulation;
    this._updateContact();
    return this._contact.isRecent(now, timeoutMs) || this._isElecting(now);
  }

  /** Caches the answer within one simulated instant, because every call needs it. */
  private _isElecting(now: number): boolean {
    if (this._electionCheck.at !== now)
      this._electionCheck = { at: now, isElecting: this._node?.isElecting(now) === true };
    return this._electionCheck.isElecting;
  }

  private _updateContact(): void {
    const { simulation, usesConsensusContact } = this._environment;
    if (this.isLeader) this._contact.addContact(this._node!.getQuorumContactAt(simulation.now));
    else if (usesConsensusContact) this._addLeaderContact();
  }

  private _addLeaderContact(): void {
    const contactAt = this._node?.getLeaderContactAt();
    if (contactAt !== undefined) this._contact.addContact(contactAt);
  }

  private _callLeader<R>(
    kind: WorkKind,
    timeoutMs: number,
    minAttemptMs: number,
    serve: (leader: ControlModel, call: Call<R>) => void,
    onEnd: (answer: R | undefined) => void,
    getCostMs = () => this._environment.costs.callMs,
  ): void {
    const { network, costs } = this._environment;
    this._leaderClient!.call<R>(
      (to, attemptTimeoutMs, onAttemptEnd) => {
        const leader = to as ControlModel;
        network.call<R>({
          from: this,
          to,
          kind,
          timeoutMs: Math.max(attemptTimeoutMs, minAttemptMs),
          getCostMs: () => (leader.isLeader ? getCostMs() : costs.refusalMs),
          serve: (call) => serve(leader, call),
          onEnd: onAttemptEnd,
        });
      },
      timeoutMs,
      onEnd,
    );
  }

  private _serveLeaderDeclaration(version: number, call: Call<number>): void {
    const node = this._node!;
    const index = this.isLeader
      ? node.addCommand(this._environment.simulation.now, new Uint8Array([version >> 8, version & 255]))
      : undefined;
    if (index === undefined) {
      call.refuse(node.leaderId);
      return;
    }
    const refuse = () => call.refuse("");
    this._pendingProposals.set(index, { term: node.term, answer: () => call.answer(version), refuse });
    this._processReady();
  }

  private _serveLeaderRead(call: Call<number>): void {
    const node = this._node!;
    const id = this.isLeader ? node.addBarrier(this._environment.simulation.now) : undefined;
    if (id === undefined) {
      call.refuse(node.leaderId);
      return;
    }
    const refuse = () => call.refuse("");
    this._pendingReads.set(id, { term: node.term, answer: () => call.answer(this.version), refuse });
    this._processReady();
  }

  private _serveRelay(
    from: string,
    { reports, signs: heartbeats }: RelayBatch,
    call: Call<{ readonly term: number; readonly unknownIds: readonly string[] }>,
  ): void {
    const leaderState = this._updateLeaderState();
    if (leaderState === undefined) {
      call.refuse(this._node?.leaderId ?? "");
      return;
    }
    leaderState.relays.addReport(this._environment.simulation.now, from, undefined);
    for (const { instanceId, sequence } of reports)
      this._recordReport(leaderState, instanceId, sequence, sequence);
    const unknownIds = heartbeats
      .filter(({ instanceId }) => !leaderState.reportSequences.has(instanceId))
      .map(({ instanceId }) => instanceId);
    call.answer({ term: leaderState.term, unknownIds });
  }

  private _recordReport(
    leaderState: LeaderState,
    instanceId: string,
    sequence: number,
    reportSequence: number,
  ): void {
    if (!leaderState.reportSequences.has(instanceId)) leaderState.revision += 1;
    if (sequence > 0) leaderState.reportSequences.set(instanceId, reportSequence);
  }

  private _scheduleSend(delayMs: number): void {
    const { simulation } = this._environment;
    const at = simulation.now + delayMs;
    if (this._scheduledSend !== undefined && at >= this._scheduledSend.at) return;
    if (this._scheduledSend !== undefined) this._scheduledSend.isCancelled = true;
    this._scheduledSend = simulation.schedule(delayMs, () => {
      this._scheduledSend = undefined;
      if (!this._isSending) this._sendReports();
    });
  }

  /** Sends a report batch to the leader by the rules of `ReportSender`. */
  private _sendReports(): void {
    const { simulation, costs } = this._environment;
    if (this.isLeader || this._node!.leaderId === "") {
      this._scheduleSend(HEARTBEAT_INTERVAL_MS);
      return;
    }
    const batch = this._relay.takeBatch(simulation.now, MAX_BATCH_REPORTS);
    this._isSending = true;
    const costMs =
      costs.callMs +
      batch.reports.length * costs.relayedReportMs +
      batch.signs.length * costs.relayedHeartbeatMs;
    this._callLeader<{ readonly term: number; readonly unknownIds: readonly string[] }>(
      "relay",
      this._relayTimeoutMs,
      0,
      (leader, call) => leader._serveRelay(this.name, batch, call),
      (answer) => {
        this._isSending = false;
        if (answer === undefined) this._relay.restoreBatch(batch);
        else this._relay.addAnswer(answer.term, answer.unknownIds);
        this._relayTimeoutMs =
          answer === undefined
            ? Math.min(MAX_RELAY_TIMEOUT_MS, this._relayTimeoutMs * 2)
            : FIRST_RELAY_TIMEOUT_MS;
        this._scheduleSend(
          answer !== undefined && this._relay.hasUpdates() ? UPDATE_DELAY_MS : HEARTBEAT_INTERVAL_MS,
        );
      },
      () => costMs,
    );
  }

  private _tick(isRunning: () => boolean): void {
    if (!isRunning()) return;
    const { simulation } = this._environment;
    this._node!.tick(simulation.now);
    this._processReady();
    this._updateLeaderState();
    this._plan();
    simulation.schedule(TICK_MS, () => this._tick(isRunning));
  }

  private _processReady(): void {
    const node = this._node!;
    while (node.hasReady()) {
      const ready = node.takeReady();
      this._persist(ready);
      for (const message of [...ready.immediateMessages, ...ready.durableMessages]) this._send(message);
      for (const { index, body } of ready.committed) this._apply(index, body);
      for (const { id } of ready.confirmed) {
        this._pendingReads.get(id)?.answer();
        this._pendingReads.delete(id);
      }
    }
    this._refuseLostRequests();
  }

  private _persist(ready: Ready): void {
    const { hardState, entries } = ready;
    if (hardState !== undefined) this._hardState = hardState;
    for (const entry of entries) {
      this._entries = this._entries.filter(({ index }) => index < entry.index);
      this._entries.push(entry);
    }
    this._node!.setDurable(ready);
  }

  private _send(message: ConsensusMessage): void {
    const { network, processes, simulation, costs } = this._environment;
    if (message.to === this.name) {
      this._node!.receive(simulation.now, message);
      return;
    }
    const to = processes.find(({ name }) => name === message.to)!;
    network.send(this, to, costs.consensusMs, () => to._receive(message));
  }

  private _receive(message: ConsensusMessage): void {
    this._node!.receive(this._environment.simulation.now, message);
    this._processReady();
  }

  private _apply(index: number, body: LogEntry["body"]): void {
    if (body.case === "command" && body.value.length === 2) {
      this.version = Math.max(this.version, body.value[0]! * 256 + body.value[1]!);
      if (this._leaderState !== undefined) this._leaderState.revision += 1;
    }
    const pending = this._pendingProposals.get(index);
    this._pendingProposals.delete(index);
    if (pending === undefined) return;
    if (pending.term === this._node!.term) pending.answer();
    else pending.refuse();
  }

  /** Refuses pending requests that can't complete any more because this process lost leadership. */
  private _refuseLostRequests(): void {
    for (const requests of [this._pendingProposals, this._pendingReads]) {
      for (const [key, { term, refuse }] of requests) {
        if (this.isLeader && term === this._node!.term) continue;
        requests.delete(key);
        refuse();
      }
    }
  }

  /**
   * Gets the soft state of the current term, which starts empty in each term; `undefined` if this process
   * does not lead.
   */
  private _updateLeaderState(): LeaderState | undefined {
    if (!this.isLeader) {
      this._leaderState = undefined;
      return undefined;
    }
    if (this._leaderState?.term === this._node!.term) return this._leaderState;
    this._leaderState = {
      term: this._node!.term,
      relays: new RelayRoster(),
      schedule: new PlanningSchedule(this._environment.simulation.now),
      reportSequences: new Map(),
      revision: 1,
      publishedRevision: 0,
    };
    this._addWork("plan", this._environment.costs.firstPlanMs * this._environment.size, () => {});
    return this._leaderState;
  }

  private _plan(): void {
    const leaderState = this._leaderState;
    if (leaderState === undefined) return;
    const { simulation, costs, size } = this._environment;
    if (!leaderState.schedule.isDue(simulation.now, String(leaderState.revision))) return;
    leaderState.schedule.addStart();
    const { revision } = leaderState;
    const costMs = costs.planMs * size;
    this._addWork("plan", costMs, () => {
      leaderState.publishedRevision = revision;
      leaderState.schedule.addEnd(simulation.now, costMs / costs.processorShare);
    });
  }

  private _addWork(kind: WorkKind, costMs: number, run: () => void): void {
    this.processor.add({ kind, getCostMs: () => costMs, isWanted: () => true, run, refuse: run });
  }
}

/** Opens a watch on a control process for an entry or for another control process. */
export function openWatch(
  environment: Environment,
  from: ControlModel | undefined,
  to: ControlModel,
  watch: Watch,
): void {
  const { network, simulation, costs } = environment;
  const latencyMs = from === undefined ? 3 : 1.5;
  const isConnected = () => from === undefined || network.isConnected(from.name, to.name);
  const reply = (run: () => void) => {
    if (!isConnected()) return;
    simulation.schedule(latencyMs, () => {
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
  const remoteWatch: Watch = {
    isEntry: watch.isEntry,
    term: watch.term,
    isWanted: watch.isWanted,
    sendUpdate: (update) => reply(() => watch.sendUpdate(update)),
    refuse: (leader) => reply(() => watch.refuse(leader)),
    end: () => reply(() => watch.end()),
  };
  if (!isConnected()) return;
  simulation.schedule(latencyMs, () => {
    if (!to.isPowered) return;
    if (!to.processor.isRunning) remoteWatch.refuse("");
    else
      to.processor.add({
        kind: "watch",
        getCostMs: () => to.getWatchCostMs(watch),
        isWanted: watch.isWanted,
        run: () => to.serveWatch(remoteWatch),
        refuse: () => remoteWatch.refuse(""),
      });
  });
}

const REPORT = create(InstanceReportSchema, { service: "models" });

function createReport(instanceId: string, sequence: number): InstanceReport {
  return { ...REPORT, instanceId, sequence, address: instanceId };
}
