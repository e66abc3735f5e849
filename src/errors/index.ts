/**
 * Every failure of the system as a typed error, and the guards that throw them.
 *
 * Fields say what a reader needs to act: the bad value, where it stands, when to
 * come back. No module throws a bare string or a plain `Error`.
 */
import { Data } from "effect";

/** One fault of a settings or configuration file. */
export interface FileFault {
  /** Line from 1; 0 when the fault belongs to no line. */
  readonly line: number;
  /** Dotted path of the key. */
  readonly path: string;
  /** What is wrong and, for an unknown key, the nearest known one. */
  readonly message: string;
}

/** A settings or configuration file that can't be used. */
export class InvalidFile extends Data.TaggedError("InvalidFile")<{
  readonly file: string;
  readonly faults: readonly FileFault[];
}> {
  override get message(): string {
    return this.faults
      .map((fault) => `${this.file}:${fault.line}: ${fault.path}: ${fault.message}`)
      .join("\n");
  }
}

/** A file of the data folder that was changed or lost after it was synced. */
export class DamagedData extends Data.TaggedError("DamagedData")<{
  readonly file: string;
  /** Byte offset of the damage. */
  readonly offset: number;
  readonly reason: string;
}> {
  override get message(): string {
    return `${this.file} is damaged at byte ${this.offset}: ${this.reason}`;
  }
}

/** A data folder that belongs to another member, or to none. */
export class ForeignData extends Data.TaggedError("ForeignData")<{
  readonly folder: string;
  readonly reason: string;
}> {
  override get message(): string {
    return `data folder ${this.folder}: ${this.reason}`;
  }
}

/** A file of the data folder that could not be read or written. */
export class FailedStorage extends Data.TaggedError("FailedStorage")<{
  readonly file: string;
  readonly cause: unknown;
}> {
  override get message(): string {
    return `${this.file}: ${String(this.cause)}`;
  }
}

/** More of an answer than may be held. */
export class OversizedAnswer extends Data.TaggedError("OversizedAnswer")<{
  /** host:port of who sent it. */
  readonly address: string;
  readonly reason: string;
}> {
  override get message(): string {
    return `${this.address}: ${this.reason}`;
  }
}

/** A call that only the leader answers, made elsewhere. */
export class AbsentLeader extends Data.TaggedError("AbsentLeader")<{
  /** Address of the leader, empty when unknown. */
  readonly leaderAddress: string;
}> {
  override get message(): string {
    return `not the leader; the leader is ${this.leaderAddress || "unknown"}`;
  }
}

/** A proposal whose fate the proposer lost sight of: it may yet be committed. */
export class UnknownProposal extends Data.TaggedError("UnknownProposal")<{
  readonly index: number;
}> {
  override get message(): string {
    return `leadership was lost before entry ${this.index} was committed; it may still be`;
  }
}

/** More proposals at once than the leader holds. */
export class FullProposalQueue extends Data.TaggedError("FullProposalQueue")<{
  readonly limit: number;
}> {
  override get message(): string {
    return `${this.limit} proposals are waiting already`;
  }
}

/** A broken invariant of our own: continuing would be worse than stopping. */
export class BrokenInvariant extends Data.TaggedError("BrokenInvariant")<{
  readonly invariant: string;
  readonly value: unknown;
}> {
  override get message(): string {
    return `broken invariant: ${this.invariant}; found ${JSON.stringify(this.value)}`;
  }
}

/** The time since the start of the machine can't be read here. */
export class MissingBootTime extends Data.TaggedError("MissingBootTime")<{
  readonly reason: string;
}> {
  override get message(): string {
    return `the time since the start of the machine can't be read: ${this.reason}`;
  }
}

/** No control process could be reached, or none is leading. */
export class UnreachableControl extends Data.TaggedError("UnreachableControl")<{
  readonly tried: readonly string[];
  readonly reason: string;
}> {
  override get message(): string {
    return `no control process leads: ${this.reason} (tried ${this.tried.join(", ")})`;
  }
}

/** A call without the right shared secret. */
export class MissingSecret extends Data.TaggedError("MissingSecret")<{ readonly interface: string }> {
  override get message(): string {
    return `a valid secret is required for ${this.interface}`;
  }
}

/** An account of a request and crashes under it that no entry of this version would give. */
export class InvalidCrashRecord extends Data.TaggedError("InvalidCrashRecord")<{
  readonly field: string;
  readonly reason: string;
}> {
  override get message(): string {
    return `the account of crashes can't be used: ${this.field}: ${this.reason}`;
  }
}

/** An engine or service that refused an order or request before running it. */
export class RefusedOrder extends Data.TaggedError("RefusedOrder")<{
  readonly instance: string;
  readonly status: number;
  readonly reason: string;
}> {
  override get message(): string {
    return `${this.instance} refused with ${this.status}: ${this.reason}`;
  }
}

/** An endpoint or platform that could not be reached before any byte was sent. */
export class UnreachableEndpoint extends Data.TaggedError("UnreachableEndpoint")<{
  readonly address: string;
  readonly reason: string;
}> {
  override get message(): string {
    return `${this.address} can't be reached: ${this.reason}`;
  }
}

/** An endpoint whose answer was lost after bytes of the request were sent. */
export class LostAnswer extends Data.TaggedError("LostAnswer")<{
  readonly address: string;
  readonly reason: string;
}> {
  override get message(): string {
    return `the answer of ${this.address} was lost: ${this.reason}`;
  }
}

/** An answer that belongs to another request, epoch or offset. */
export class ForeignAnswer extends Data.TaggedError("ForeignAnswer")<{
  readonly address: string;
  readonly expected: string;
  readonly found: string;
}> {
  override get message(): string {
    return `${this.address} answered ${this.found} where ${this.expected} was expected`;
  }
}

/** An answer whose form is not the published one. */
export class MalformedAnswer extends Data.TaggedError("MalformedAnswer")<{
  readonly address: string;
  readonly reason: string;
}> {
  override get message(): string {
    return `${this.address} sent a malformed answer: ${this.reason}`;
  }
}

/** Throws a typed error when an invariant of our own does not hold. */
export function assertInvariant(condition: boolean, invariant: string, value: unknown): asserts condition {
  if (!condition) throw new BrokenInvariant({ invariant, value });
}

/** A declaration that is refused whole. */
export class InvalidDeclaration extends Data.TaggedError("InvalidDeclaration")<{
  /** Dotted path of the part that is wrong. */
  readonly path: string;
  readonly reason: string;
}> {
  override get message(): string {
    return `${this.path}: ${this.reason}`;
  }
}

/** A report of an instance that can't be read. */
export class InvalidReport extends Data.TaggedError("InvalidReport")<{
  /** The part that is wrong; "body" where it can't be read at all. */
  readonly field: string;
  readonly reason: string;
}> {
  override get message(): string {
    return `the report can't be used: ${this.field}: ${this.reason}`;
  }
}
