/** The state from which the bootstrap members start: empty, with the initial membership. */
import { create } from "@bufbuild/protobuf";
import { type Membership, type Snapshot, SnapshotSchema } from "../gen/ploverstage/v1/consensus_pb";

/** Creates the snapshot at index 0. */
export function createInitialSnapshot(membership: Membership): Snapshot {
  return create(SnapshotSchema, { index: 0, term: 0, membership, state: new Uint8Array() });
}
