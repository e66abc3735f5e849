/**
 * Simulates consensus members on overloaded machines.
 *
 * The members are real `RaftNode`s; time is simulated. No message is lost, but each one waits at its
 * recipient, and a member that becomes the leader computes for some time before it does anything else.
 */

import { create } from "@bufbuild/protobuf";
import type { Ready } from "../../src/consensus";
import { createMembership, DEFAULT_TIMING, RaftNode, SeededRandom } from "../../src/consensus";
import {
  type ConsensusMessage,
  HardStateSchema,
  MemberSchema,
} from "../../src/gen/ploverstage/v1/consensus_pb";

/** Delays on overloaded machines, milliseconds. */
export interface Load {
  /** Shortest and longest time that a message waits at its recipient. */
  readonly receiveDelays: readonly [number, number];
  /** Time for which a new leader computes without processing messages. */
  readonly startupMs: number;
}

/** The period in which one member was an established leader. */
export interface Leadership {
  readonly term: number;
  readonly startedAt: number;
  endedAt: number | undefined;
}

interface Host {
  readonly node: RaftNode;
  /** Time until which the member processes no messages. */
  busyUntil: number;
  isLeader: boolean;
}

interface Delivery {
  readonly dueAt: number;
  readonly message: ConsensusMessage;
}

const TICK_MS = 20;

/** Consensus members and the messages between them. */
export class BusyMembers {
  /** Leaderships in which an entry was committed, in the order of their start. */
  readonly leaderships: Leadership[] = [];
  private readonly _hosts: Host[];
  private readonly _random: SeededRandom;
  private _deliveries: Delivery[] = [];
  private _now = 0;

  constructor(size: number, seed: number) {
    this._random = new SeededRandom(seed);
    const members = Array.from({ length: size }, (_, i) =>
      create(MemberSchema, { id: `m${i}`, name: `m${i}`, address: `m${i}:1`, learner: false }),
    );
    this._hosts = members.map(({ id }, i) => ({
      node: new RaftNode({
        id,
        membership: createMembership(members),
        hardState: create(HardStateSchema, {}),
        snapshot: undefined,
        entries: [],
        timing: DEFAULT_TIMING,
        random: new SeededRandom(seed * 100 + i),
        now: 0,
      }),
      busyUntil: 0,
      isLeader: false,
    }));
  }

  /** Advances the simulated time. */
  run(milliseconds: number, load: Load): void {
    const endAt = this._now + milliseconds;
    for (; this._now < endAt; this._now += TICK_MS) {
      for (const host of this._hosts) {
        if (host.busyUntil > this._now) continue;
        this._receive(host);
        host.node.tick(this._now);
        this._processReady(host, load);
        this._trackLeadership(host, load);
      }
    }
  }

  /**
   * Kills the leader's process.
   * @returns The time of the kill, milliseconds.
   */
  killLeader(): number {
    const leader = this._hosts.find((host) => host.isLeader)!;
    leader.busyUntil = Number.POSITIVE_INFINITY;
    leader.isLeader = false;
    this.leaderships.at(-1)!.endedAt = this._now;
    return this._now;
  }

  /** Stops the first members permanently. */
  stop(count: number): void {
    for (const host of this._hosts.slice(0, count)) host.busyUntil = Number.POSITIVE_INFINITY;
  }

  /** Gets the number of members that detect that a majority has no leader. */
  countElecting(): number {
    return this._hosts.filter((host) => host.node.isElecting(this._now)).length;
  }

  private _receive(host: Host): void {
    const isDue = ({ dueAt, message }: Delivery) => dueAt <= this._now && message.to === host.node.id;
    const due = this._deliveries.filter(isDue);
    this._deliveries = this._deliveries.filter((delivery) => !isDue(delivery));
    for (const { message } of due) host.node.receive(this._now, message);
  }

  private _processReady({ node }: Host, { receiveDelays: [shortest, longest] }: Load): void {
    while (node.hasReady()) {
      const ready: Ready = node.takeReady();
      node.setDurable(ready);
      for (const message of [...ready.immediateMessages, ...ready.durableMessages]) {
        if (message.to === node.id) {
          node.receive(this._now, message);
          continue;
        }
        const waitMs = shortest + this._random.next() * (longest - shortest);
        this._deliveries.push({ dueAt: this._now + waitMs, message });
      }
    }
  }

  private _trackLeadership(host: Host, { startupMs }: Load): void {
    const isLeader = host.node.isEstablished();
    if (isLeader && !host.isLeader) {
      this.leaderships.push({ term: host.node.term, startedAt: this._now, endedAt: undefined });
      host.busyUntil = this._now + startupMs;
    }
    if (!isLeader && host.isLeader)
      this.leaderships.findLast((leadership) => leadership.endedAt === undefined)!.endedAt = this._now;
    host.isLeader = isLeader;
  }
}
