/** Bounds on loads from the weight store, worked out from what a service declares. Pure. */
import type { EngineProfile } from "../declaration";
import type { LoadLimit } from "./LoadLimiter";

/** The weight store's window. */
export interface LoadWindow {
  readonly loadWindowMs: number;
  /** Factor by which the declared rate may be overrun within a window. */
  readonly loadOverrun: number;
}

/**
 * Loads at a time while the first replicas form, against those that run at full speed: they are
 * short then, and each must begin before there is work. Later ones would only slow each other.
 */
const FIRST_LOAD_OVERLAP = 2;

/** Gets how many loads may begin within the weight store's window. */
export function createLoadLimit(
  engine: EngineProfile | undefined,
  { loadWindowMs, loadOverrun }: LoadWindow,
): LoadLimit {
  const perSecond = engine?.loadsPerSecond ?? 0;
  const loads = Math.max(1, Math.floor((perSecond * loadWindowMs * loadOverrun) / 1_000));
  return { loads, windowMs: loadWindowMs };
}

/**
 * Counts the loads that may go on at a time while the first replicas form.
 *
 * Loads are not counted before there is work, but nobody tells when work begins. From then on
 * each of these may be followed by others of full length, and those of one window have to keep
 * within the limit.
 */
export function countFirstLoads(engine: EngineProfile, limit: LoadLimit): number {
  const shortestMs = Math.min(...engine.models.map((model) => model.loadMs));
  const turns = 1 + Math.floor(limit.windowMs / shortestMs);
  const bearable = Math.max(1, Math.floor(limit.loads / turns));
  return Math.min(Math.ceil(engine.concurrentLoads * FIRST_LOAD_OVERLAP), bearable);
}
