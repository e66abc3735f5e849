/**
 * Typed errors for all failures of the system, and functions that throw them.
 *
 * Fields contain the information that is necessary to handle the error: the invalid value, its position, the
 * time of the next attempt. No module throws a string or a plain `Error`.
 */
import { Data } from "effect";

/** A fault in a settings or configuration file. */
export interface FileFault {
  /** Line number, starting at 1; 0 if the fault has no line. */
  readonly line: number;
  /** Dotted path of the key. */
  readonly path: string;
  /** Description of the fault; for an unknown key it includes the most similar known key. */
  readonly message: string;
}

/** Thrown if a settings or configuration file cannot be read or is invalid. */
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

/** Thrown if a file of the data folder was changed or lost after it was synced. */
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

/** Thrown if a data folder belongs to another member or has no identity. */
export class ForeignData extends Data.TaggedError("ForeignData")<{
  readonly folder: string;
  readonly reason: string;
}> {
  override get message(): string {
    return `data folder ${this.folder}: ${this.reason}`;
  }
}

/** Thrown if a file of the data folder could not be read or written. */
export class FailedStorage extends Data.TaggedError("FailedStorage")<{
  readonly file: string;
  readonly cause: unknown;
}> {
  override get message(): string {
    return `${this.file}: ${String(this.cause)}`;
  }
}

/** Thrown if an answer exceeds the size that may be buffered. */
export class OversizedAnswer extends Data.TaggedError("OversizedAnswer")<{
  /** host:port of the sender. */
  readonly address: string;
  readonly reason: string;
}> {
  override get message(): string {
    return `${this.address}: ${this.reason}`;
  }
}

/** Thrown if a call that only the leader answers reaches another process. */
export class AbsentLeader extends Data.TaggedError("AbsentLeader")<{
  /** Address of the leader; empty if unknown. */
  readonly leaderAddress: string;
}> {
  override get message(): string {
    return `this process is not the leader; the leader is ${this.leaderAddress || "unknown"}`;
  }
}

/**
 * Thrown if a proposer lost leadership before its proposal was committed. The proposal may still be
 * committed.
 */
export class UnknownProposal extends Data.TaggedError("UnknownProposal")<{
  readonly index: number;
}> {
  override get message(): string {
    return `leadership was lost before entry ${this.index} was committed; the entry may still be committed`;
  }
}

/** Thrown if the number of pending proposals has reached the leader's limit. */
export class FullProposalQueue extends Data.TaggedError("FullProposalQueue")<{
  readonly limit: number;
}> {
  override get message(): string {
    return `${this.limit} proposals are pending; the queue is full`;
  }
}

/**
 * Thrown if an internal invariant is violated. The process must stop, because continuing could do more
 * damage.
 */
export class BrokenInvariant extends Data.TaggedError("BrokenInvariant")<{
  readonly invariant: string;
  readonly value: unknown;
}> {
  override get message(): string {
    return `invariant violated: ${this.invariant}; found ${JSON.stringify(this.value)}`;
  }
}

/** Thrown if the time since the boot of the machine cannot be read on this system. */
export class MissingBootTime extends Data.TaggedError("MissingBootTime")<{
  readonly reason: string;
}> {
  override get message(): string {
    return `cannot read the time since boot: ${this.reason}`;
  }
}

/** Thrown if no control process could be reached, or none of them is the leader. */
export class UnreachableControl extends Data.TaggedError("UnreachableControl")<{
  readonly tried: readonly string[];
  readonly reason: string;
}> {
  override get message(): string {
    return `no control process leads: ${this.reason} (tried ${this.tried.join(", ")})`;
  }
}

/** Thrown if a call lacks the correct shared secret. */
export class MissingSecret extends Data.TaggedError("MissingSecret")<{ readonly interface: string }> {
  override get message(): string {
    return `a valid secret is required for ${this.interface}`;
  }
}

/** Thrown if a crash record has a form that no entry of this version sends. */
export class InvalidCrashRecord extends Data.TaggedError("InvalidCrashRecord")<{
  readonly field: string;
  readonly reason: string;
}> {
  override get message(): string {
    return `invalid crash record: ${this.field}: ${this.reason}`;
  }
}

/** Thrown if an engine or service refused an order or request before running it. */
export class RefusedOrder extends Data.TaggedError("RefusedOrder")<{
  readonly instance: string;
  readonly status: number;
  readonly reason: string;
}> {
  override get message(): string {
    return `${this.instance} refused with ${this.status}: ${this.reason}`;
  }
}

/** Thrown if an endpoint or the platform could not be reached before any byte was sent. */
export class UnreachableEndpoint extends Data.TaggedError("UnreachableEndpoint")<{
  readonly address: string;
  readonly reason: string;
}> {
  override get message(): string {
    return `${this.address} can't be reached: ${this.reason}`;
  }
}

/** Thrown if an endpoint's answer was lost after bytes of the request had been sent. */
export class LostAnswer extends Data.TaggedError("LostAnswer")<{
  readonly address: string;
  readonly reason: string;
}> {
  override get message(): string {
    return `the answer of ${this.address} was lost: ${this.reason}`;
  }
}

/** Thrown if an answer belongs to another request, epoch or offset. */
export class ForeignAnswer extends Data.TaggedError("ForeignAnswer")<{
  readonly address: string;
  readonly expected: string;
  readonly found: string;
}> {
  override get message(): string {
    return `${this.address} answered ${this.found}, but ${this.expected} was expected`;
  }
}

/** Thrown if the description of a relayed request or of its answer is missing or malformed. */
export class InvalidRelay extends Data.TaggedError("InvalidRelay")<{
  readonly header: string;
  readonly reason: string;
}> {
  override get message(): string {
    return `invalid header ${this.header}: ${this.reason}`;
  }
}

/** Thrown if an answer does not have the published form. */
export class MalformedAnswer extends Data.TaggedError("MalformedAnswer")<{
  readonly address: string;
  readonly reason: string;
}> {
  override get message(): string {
    return `${this.address} sent a malformed answer: ${this.reason}`;
  }
}

/**
 * Asserts that an internal invariant holds.
 * @throws BrokenInvariant
 */
export function assertInvariant(condition: boolean, invariant: string, value: unknown): asserts condition {
  if (!condition) throw new BrokenInvariant({ invariant, value });
}

/** Thrown if a declaration is invalid. The whole declaration is refused. */
export class InvalidDeclaration extends Data.TaggedError("InvalidDeclaration")<{
  /** Dotted path of the invalid part. */
  readonly path: string;
  readonly reason: string;
}> {
  override get message(): string {
    return `${this.path}: ${this.reason}`;
  }
}

/** Thrown if an instance's report cannot be read. */
export class InvalidReport extends Data.TaggedError("InvalidReport")<{
  /** Name of the invalid field; "body" if the whole report is unreadable. */
  readonly field: string;
  readonly reason: string;
}> {
  override get message(): string {
    return `invalid report: ${this.field}: ${this.reason}`;
  }
}
