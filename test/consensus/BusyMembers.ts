/**
 * Members of the agreement on machines that are too small for the work of the moment.
 *
 * A test of our own code: nothing is lost, but what a member is sent waits behind its other work,
 * and a member that begins to lead computes for a while before it does anything else. Time is
 * simulated.
 */

import { create } from "@bufbuild/protobuf";
import type { Ready } from "../../src/consensus";
import { createMembership, DEFAULT_TIMING, RaftNode, SeededRandom } from "../../src/consensus";
import {
  type ConsensusMessage,
  HardStateSchema,
  MemberSchema,
} from "../../src/gen/ploverstage/v1/consensus_pb";

/** How busy members are, milliseconds. */
export interface Busyness {
  /** Shortest and longest time that a message waits at its receiver. */
  readonly waits: readonly [number, number];
  /** What a member computes at a stretch once it leads. */
  readonly firstWork: number;
}

/** A change of leader. */
export interface Term {
  readonly term: number;
  readonly beganAt: number;
  endedAt: number | undefined;
}

interface Host {
  readonly node: RaftNode;
  /** It computes something else until then. */
  busyUntil: number;
  leads: boolean;
}

interface Delivery {
  readonly at: number;
  readonly message: ConsensusMessage;
}

const TICK_MS = 20;

/** Members and the messages between them. */
export class BusyMembers {
  /** Leaderships in which something was committed, in the order of their beginning. */
  readonly terms: Term[] = [];
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
      leads: false,
    }));
  }

  /** Lets simulated time pass. */
  run(milliseconds: number, busyness: Busyness): void {
    const endAt = this._now + milliseconds;
    for (; this._now < endAt; this._now += TICK_MS) {
      for (const host of this._hosts) {
        if (host.busyUntil > this._now) continue;
        this._receive(host);
        host.node.tick(this._now);
        this._work(host, busyness);
        this._follow(host, busyness);
      }
    }
  }

  /**
   * Ends the leader's process.
   * @returns When, milliseconds.
   */
  killLeader(): number {
    const leader = this._hosts.find((host) => host.leads)!;
    leader.busyUntil = Number.POSITIVE_INFINITY;
    leader.leads = false;
    this.terms.at(-1)!.endedAt = this._now;
    return this._now;
  }

  /** Stops some members for good. */
  stop(count: number): void {
    for (const host of this._hosts.slice(0, count)) host.busyUntil = Number.POSITIVE_INFINITY;
  }

  /** Gets how many members know that a majority elects a leader. */
  countElecting(): number {
    return this._hosts.filter((host) => host.node.isElecting(this._now)).length;
  }

  private _receive(host: Host): void {
    const isDue = ({ at, message }: Delivery) => at <= this._now && message.to === host.node.id;
    const due = this._deliveries.filter(isDue);
    this._deliveries = this._deliveries.filter((delivery) => !isDue(delivery));
    for (const { message } of due) host.node.receive(this._now, message);
  }

  private _work({ node }: Host, { waits: [shortest, longest] }: Busyness): void {
    while (node.hasReady()) {
      const ready: Ready = node.takeReady();
      const last = ready.entries.at(-1);
      if (last !== undefined) node.setDurable(last.index, last.term);
      for (const message of [...ready.immediateMessages, ...ready.durableMessages]) {
        if (message.to === node.id) {
          node.receive(this._now, message);
          continue;
        }
        const waitMs = shortest + this._random.next() * (longest - shortest);
        this._deliveries.push({ at: this._now + waitMs, message });
      }
    }
  }

  private _follow(host: Host, { firstWork }: Busyness): void {
    const leads = host.node.isEstablished();
    if (leads && !host.leads) {
      this.terms.push({ term: host.node.term, beganAt: this._now, endedAt: undefined });
      host.busyUntil = this._now + firstWork;
    }
    if (!leads && host.leads) this.terms.findLast((term) => term.endedAt === undefined)!.endedAt = this._now;
    host.leads = leads;
  }
}
