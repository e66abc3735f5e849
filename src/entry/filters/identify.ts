/** Second filter: finds the organisation and the target in the active configuration. */
import type { Configuration } from "../../configuration";
import { Refusal, type RefusalCode } from "../Refusal";
import type { AcceptedRequest, IdentifiedRequest, ModelCall, ServiceCall } from "../requests";
import { REQUEST_HEADER } from "./accept";

/**
 * Identifies the organisation and the target of a request.
 * @throws Refusal - With the code unknown_organisation, unknown_model or unknown_service.
 */
export function identifyRequest(request: AcceptedRequest, configuration: Configuration): IdentifiedRequest {
  const organisation = configuration.organisations.find(
    (candidate) => candidate.name === request.organisationName,
  );
  if (organisation === undefined) {
    const name = JSON.stringify(request.organisationName);
    throw createRefusal(
      "unknown_organisation",
      `the organisation ${name} in ${REQUEST_HEADER.organisation} is not declared`,
    );
  }
  const { call } = request;
  if (call.kind === "model") return { ...request, organisation, target: identifyModel(call, configuration) };
  const isRepeatable = request.isRepeatable && !isNotRepeatablePath(call, configuration);
  return { ...request, organisation, isRepeatable, target: identifyService(call, configuration) };
}

function identifyModel(call: ModelCall, configuration: Configuration): string {
  const model = configuration.models.find((candidate) => candidate.name === call.model);
  if (model === undefined) throw createRefusal("unknown_model", `the model "${call.model}" is not declared`);
  if (call.adapter === "" || model.adapters.includes(call.adapter)) return model.name;
  throw createRefusal("unknown_model", `the model "${call.model}" has no adapter "${call.adapter}"`);
}

function identifyService(call: ServiceCall, configuration: Configuration): string {
  const service = configuration.services.find((candidate) => candidate.name === call.service);
  if (service === undefined)
    throw createRefusal("unknown_service", `the service "${call.service}" is not declared`);
  return service.name;
}

/**
 * Checks whether the configuration declares the path as not repeatable. The configuration takes precedence
 * over the caller's header.
 */
function isNotRepeatablePath(call: ServiceCall, configuration: Configuration): boolean {
  const service = configuration.services.find((candidate) => candidate.name === call.service);
  return service?.notRepeatablePaths.some((path) => call.path.startsWith(path)) ?? false;
}

function createRefusal(code: RefusalCode, reason: string): Refusal {
  return new Refusal({ code, outcome: "not-run", reason });
}
