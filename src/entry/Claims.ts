/** Claims of non-repeatable requests in the replicated state. */
import { create } from "@bufbuild/protobuf";
import type { Clock } from "../clock";
import type { ClaimResponse, EntryService } from "../gen/ploverstage/v1/control_pb";
import {
  ClaimRequestSchema,
  ClaimState,
  type RequestClaim,
  SettleRequestSchema,
} from "../gen/ploverstage/v1/state_pb";
import type { EntryId, RequestId } from "../ids";
import type { Logger } from "../metrics";
import type { LeaderClient } from "../rpc";
import { type Outcome, Refusal, type RefusalCode } from "./Refusal";
import type { ClassifiedRequest } from "./requests";

const CLAIM_TIMEOUT_MS = 3_000;
/**
 * Maximum time to report an outcome to the leader. After that, the outcome stays unknown to other entries.
 */
const COMPLETE_TIMEOUT_MS = 60_000;

const STATE_BY_OUTCOME: Readonly<Record<Outcome, ClaimState>> = {
  done: ClaimState.DONE,
  failed: ClaimState.FAILED,
  unknown: ClaimState.UNKNOWN,
  "not-run": ClaimState.UNSPECIFIED,
};

interface DuplicateAnswer {
  readonly code: RefusalCode;
  readonly outcome: Outcome;
  readonly reason: string;
}

const DUPLICATE_ANSWERS: Readonly<Record<ClaimState, DuplicateAnswer>> = {
  [ClaimState.UNSPECIFIED]: {
    code: "claim_unknown",
    outcome: "unknown",
    reason: "the state of the first request with this key was lost",
  },
  [ClaimState.RUNNING]: {
    code: "claim_running",
    outcome: "unknown",
    reason: "the first request with this key is still running",
  },
  [ClaimState.DONE]: {
    code: "claim_done",
    outcome: "done",
    reason: "the first request with this key has been answered",
  },
  [ClaimState.FAILED]: {
    code: "claim_failed",
    outcome: "failed",
    reason: "the first request with this key has failed",
  },
  [ClaimState.UNKNOWN]: {
    code: "claim_unknown",
    outcome: "unknown",
    reason: "it is unknown whether the first request with this key ran",
  },
};

const RETRY_AFTER_MS = 2_000;

/** Makes and completes the claims of one entry. */
export class Claims {
  private readonly _client: LeaderClient<typeof EntryService>;
  private readonly _entryId: EntryId;
  private readonly _clock: Clock;
  private readonly _logger: Logger;
  private readonly _claimed = new Set<RequestId>();

  /** @param entryId - The entry that owns the claims. */
  constructor(client: LeaderClient<typeof EntryService>, entryId: EntryId, clock: Clock, logger: Logger) {
    this._client = client;
    this._entryId = entryId;
    this._clock = clock;
    this._logger = logger;
  }

  /**
   * Claims the right to run a request. Does nothing if the request needs no claim or already has one.
   * @throws Refusal - If the key was claimed before or the control process can't be reached.
   */
  async claimOnce(request: ClassifiedRequest): Promise<void> {
    if (request.isRepeatable || request.key === "" || this._claimed.has(request.id)) return;
    await this._claim(request);
    this._claimed.add(request.id);
  }

  private async _claim(request: ClassifiedRequest): Promise<void> {
    const remainingMs = request.deadlineAt - this._clock.getMonotonicMs();
    const message = create(ClaimRequestSchema, {
      key: getClaimKey(request),
      requestId: request.id,
      entryId: this._entryId,
      fingerprint: request.fingerprint,
    });
    const response = await this._client
      .call(
        (leader, timeoutMs) => leader.claim(message, { timeoutMs }),
        Math.min(CLAIM_TIMEOUT_MS, remainingMs),
      )
      .catch((cause: unknown) => this._abandon(request, cause));
    if (!response.granted) throw createDuplicateRefusal(response.existing, request);
  }

  /** Records the outcome of a request in the background. Does nothing if the request has no claim. */
  complete(request: ClassifiedRequest, outcome: Outcome, status: number): void {
    if (this._claimed.delete(request.id)) this._complete(request, outcome, status);
  }

  private _complete(request: ClassifiedRequest, outcome: Outcome, status: number): void {
    const message = create(SettleRequestSchema, {
      key: getClaimKey(request),
      requestId: request.id,
      state: STATE_BY_OUTCOME[outcome],
      status,
    });
    this._client
      .call((leader, timeoutMs) => leader.settle(message, { timeoutMs }), COMPLETE_TIMEOUT_MS)
      .catch((cause: unknown) =>
        this._logger.warn({ event: "settle_failed", request: request.id, outcome, reason: String(cause) }),
      );
  }

  /**
   * Releases a claim after a failed call, because the leader may have committed the claim before the call
   * failed.
   * @throws Refusal - Always.
   */
  private _abandon(request: ClassifiedRequest, cause: unknown): ClaimResponse {
    this._complete(request, "not-run", 0);
    throw new Refusal({
      code: "control_unreachable",
      outcome: "not-run",
      reason: `the claim for the request failed: ${String(cause)}`,
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
}

function getClaimKey(request: ClassifiedRequest): string {
  return `${request.organisation.name}/${request.key}`;
}

function createDuplicateRefusal(existing: RequestClaim | undefined, request: ClassifiedRequest): Refusal {
  if (existing !== undefined && existing.fingerprint !== request.fingerprint) {
    const reason = "the key has already been used for a different request";
    return new Refusal({ code: "key_reused", outcome: "not-run", reason });
  }
  const state = existing?.state ?? ClaimState.UNSPECIFIED;
  const answer = DUPLICATE_ANSWERS[state];
  const status = existing?.status ? ` with status ${existing.status}` : "";
  return new Refusal({
    code: answer.code,
    outcome: answer.outcome,
    reason: answer.reason + status,
    retryAfterMs: state === ClaimState.RUNNING ? RETRY_AFTER_MS : undefined,
  });
}
