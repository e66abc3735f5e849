/** Limits on loads from the weight store, computed from a service's declaration. Pure. */
import type { EngineProfile } from "../declaration";
import type { LoadLimit } from "./LoadLimiter";

/** Sliding window in which the number of model loads from the weight store is limited. */
export interface LoadWindow {
  readonly loadWindowMs: number;
  /** Factor by which the number of model loads started within one window may exceed the declared rate. */
  readonly loadOverrun: number;
}

/**
 * Ratio of concurrent loads during the first formation to the loads that run at full speed. First loads are
 * short and all of them should begin before there are requests. More concurrent loads later would only slow
 * each other down.
 */
const FIRST_LOAD_OVERLAP = 2;

/** Gets how many loads may begin within the weight store's window; at least one. */
export function createLoadLimit(
  engine: EngineProfile | undefined,
  { loadWindowMs, loadOverrun }: LoadWindow,
): LoadLimit {
  const perSecond = engine?.loadsPerSecond ?? 0;
  const loads = Math.max(1, Math.floor((perSecond * loadWindowMs * loadOverrun) / 1_000));
  return { loads, windowMs: loadWindowMs };
}

/**
 * Counts the concurrent loads allowed during the first formation.
 *
 * The weight store counts no loads until there are requests, but it is not known in advance when they start.
 * From then on each of these loads may be followed by others of full length, and the loads that begin within
 * one window have to stay within the limit.
 */
export function countFirstLoads(engine: EngineProfile, limit: LoadLimit): number {
  const shortestMs = Math.min(...engine.models.map((model) => model.loadMs));
  const rounds = 1 + Math.floor(limit.windowMs / shortestMs);
  const allowed = Math.max(1, Math.floor(limit.loads / rounds));
  return Math.min(Math.ceil(engine.concurrentLoads * FIRST_LOAD_OVERLAP), allowed);
}
