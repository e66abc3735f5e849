/**
 * The newest declaration in the log of this process that is not known to be committed.
 *
 * After a restart a process knows of no committed entry beyond its snapshot, so an acknowledged declaration
 * is in its log, but not in its state until a leader tells which entries are committed.
 */
import { create, fromBinary } from "@bufbuild/protobuf";
import type { RaftNode } from "../consensus";
import { CommandSchema, type Declaration, DeclarationSchema } from "../gen/ploverstage/v1/state_pb";

/** The part of a consensus node that is needed here. */
export type ProposalLog = Pick<RaftNode, "leaderId" | "commitIndex"> & {
  readonly log: Pick<RaftNode["log"], "lastIndex" | "getEntries">;
};

/** Finds the proposed declaration of one process. */
export class ProposedDeclaration {
  private readonly _node: ProposalLog;
  private _range = "";
  private _found: Declaration | undefined;

  constructor(node: ProposalLog) {
    this._node = node;
  }

  /** Gets the declaration; `undefined` without one, and while a leader is known, which tells what is committed. */
  get(): Declaration | undefined {
    const { leaderId, commitIndex, log } = this._node;
    if (leaderId !== "") return undefined;
    const range = `${commitIndex}-${log.lastIndex}`;
    if (range !== this._range) {
      this._range = range;
      this._found = this._find();
    }
    return this._found;
  }

  private _find(): Declaration | undefined {
    const { commitIndex, log } = this._node;
    const entries = log.getEntries(commitIndex + 1, log.lastIndex - commitIndex);
    let newest: Declaration | undefined;
    for (const { body } of entries) {
      if (body.case !== "command") continue;
      const command = fromBinary(CommandSchema, body.value).body;
      if (command.case !== "putDeclaration") continue;
      const { version, document } = command.value;
      if (version > (newest?.version ?? 0)) newest = create(DeclarationSchema, { version, document });
    }
    return newest;
  }
}
