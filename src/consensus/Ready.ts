/** What a consensus node wants done, in the order in which it must be done. */
import type { ConsensusMessage, HardState, LogEntry, Snapshot } from "../gen/ploverstage/v1/consensus_pb";

/** A confirmed read: state applied up to `readIndex` is current. */
export interface ConfirmedBarrier {
  readonly id: number;
  readonly readIndex: number;
}

/**
 * Work that one turn of a consensus node produced.
 *
 * @remarks The driver sends `immediateMessages`, makes `snapshot`, `hardState` and
 * `entries` durable with one sync, tells the node, sends `durableMessages`, then
 * applies `committed`. A message that promises something is never in the first list.
 */
export interface Ready {
  readonly immediateMessages: readonly ConsensusMessage[];
  readonly snapshot: Snapshot | undefined;
  readonly hardState: HardState | undefined;
  readonly entries: readonly LogEntry[];
  readonly durableMessages: readonly ConsensusMessage[];
  readonly committed: readonly LogEntry[];
  readonly confirmed: readonly ConfirmedBarrier[];
}
