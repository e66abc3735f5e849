/** The pending work of a consensus node, in the order in which the driver must execute it. */
import type { ConsensusMessage, HardState, LogEntry, Snapshot } from "../gen/ploverstage/v1/consensus_pb";

/** A confirmed read: state applied up to `readIndex` is current. */
export interface ConfirmedBarrier {
  readonly id: number;
  readonly readIndex: number;
}

/**
 * Work that a consensus node has produced since the last `takeReady`.
 *
 * @remarks The driver sends `immediateMessages`, makes `snapshot`, `hardState` and `entries` durable with one
 * sync, calls `setDurable` on the node, sends `durableMessages`, then applies `committed`. A message that
 * depends on a write is never in `immediateMessages`.
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
