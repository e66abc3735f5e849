/** Serves operators: configuration changes, their history, the status and the burn report. */
import { Code, ConnectError, type ConnectRouter } from "@connectrpc/connect";
import type { Clock } from "../../clock";
import { parseConfiguration } from "../../configuration";
import type { ConsensusDriver } from "../../consensus";
import { InvalidFile } from "../../errors";
import { ApplyOutcome, type ApplyRequest, OperatorService } from "../../gen/ploverstage/v1/control_pb";
import type { LeaderGuard } from "../../membership";
import type { CommandResult } from "../../state";
import type { ConfigurationCache } from "../ConfigurationCache";
import type { Leadership } from "../Leadership";
import { createLossStatuses, createStatus } from "./status";

export interface OperatorRouteOptions {
  readonly driver: ConsensusDriver;
  readonly guard: LeaderGuard<Leadership>;
  readonly clock: Clock;
  readonly configurations: ConfigurationCache;
}

const CHANGE_ID = /^[A-Za-z0-9][A-Za-z0-9.-]{0,99}$/;
const OPERATOR_NAME = /^[A-Za-z0-9][A-Za-z0-9.@-]{0,99}$/;
/** Most versions that one history call returns. */
const MAX_HISTORY = 1_000;

/**
 * Adds the RPCs by which operators apply and read configurations, and read the status and the burn report.
 */
export function addOperatorRoutes(router: ConnectRouter, options: OperatorRouteOptions): void {
  const { driver, guard, clock } = options;
  router.service(OperatorService, {
    apply(request) {
      return guard.propose(() => applyConfiguration(options, request));
    },
    inForce(request) {
      return guard.run((leadership) => {
        const now = clock.getMonotonicMs();
        const inForce = leadership.leases.isConfigurationInForce(now, request.version);
        const holders = leadership.leases.getOutdatedHolders(now, request.version);
        return { inForce, waitingFor: holders.map((holder) => holder.entryId) };
      });
    },
    getConfiguration(request) {
      return guard.run(() => {
        const { machine } = driver;
        const isNewest = request.version === 0;
        const found = isNewest
          ? machine.getConfiguration()
          : machine.getConfigurationByVersion(request.version);
        if (found === undefined && !isNewest) {
          throw new ConnectError(`version ${request.version} is not retained`, Code.NotFound);
        }
        return { configuration: found };
      });
    },
    history(request) {
      return guard.run(() => {
        const limit = Math.min(request.limit || MAX_HISTORY, MAX_HISTORY);
        const versions = driver.machine.getConfigurations(limit);
        return { versions: versions.map((version) => ({ ...version, text: "" })) };
      });
    },
    status() {
      return guard.run((leadership) => createStatus(options, leadership));
    },
    burn() {
      return guard.run((leadership) => ({
        windows: leadership.burn.getMerged(),
        losses: createLossStatuses(leadership),
        nowMs: clock.getWallMs(),
      }));
    },
  });
}

async function applyConfiguration({ driver, clock }: OperatorRouteOptions, request: ApplyRequest) {
  throwIfInvalidName("change id", request.changeId, CHANGE_ID);
  throwIfInvalidName("operator", request.operator, OPERATOR_NAME);
  const faults = getFaults(request.text);
  if (faults.length > 0) return { outcome: ApplyOutcome.INVALID, faults };
  const result = await driver.propose({
    case: "setConfiguration",
    value: {
      $typeName: "ploverstage.v1.SetConfiguration",
      changeId: request.changeId,
      baseVersion: request.baseVersion,
      operator: request.operator,
      text: request.text,
      atMs: clock.getWallMs(),
    },
  });
  return toApplyResponse(result);
}

function toApplyResponse(result: CommandResult | undefined) {
  if (result?.kind === "acceptedConfiguration") {
    return { outcome: ApplyOutcome.ACCEPTED, version: result.version };
  }
  if (result?.kind === "conflictingConfiguration") {
    const { newest } = result;
    return { outcome: ApplyOutcome.CONFLICT, version: newest?.version ?? 0, winner: newest?.operator ?? "" };
  }
  throw new ConnectError(`unexpected result ${result?.kind}`, Code.Internal);
}

function throwIfInvalidName(field: string, value: string, pattern: RegExp): void {
  if (pattern.test(value)) return;
  throw new ConnectError(`${field} ${JSON.stringify(value)} does not match ${pattern}`, Code.InvalidArgument);
}

function getFaults(text: string) {
  try {
    parseConfiguration("configuration", text);
    return [];
  } catch (cause) {
    if (!(cause instanceof InvalidFile)) throw cause;
    return cause.faults.map((fault) => ({ line: fault.line, path: fault.path, message: fault.message }));
  }
}
