/** Simulates a fleet under faults with many seeds. */
import { FleetModel, type FleetOptions } from "./FleetModel";
import { RELIABLE } from "./OrderModel";
import { NO_OVERLOAD } from "./OverloadModel";

/** The first seed and the number of seeds, which can be set for manual runs. */
const [FIRST_SEED = 1, SEED_COUNT = 40] = process.env.PLOVERSTAGE_MODEL_SEEDS?.split(",").map(Number) ?? [];
/** Seeds for the kinds and times of faults. */
export const SEEDS = Array.from({ length: SEED_COUNT }, (_, i) => FIRST_SEED + i);
export const FORMATION_MS = 6_000;
/** Long enough for a head without its members to break and for replicas to be formed again. */
const RECOVERY_MS = 15_000;
/** Two fabric domains of seven instances each, replicas of three. */
export const WANTED_REPLICAS = 4;

/** The result of a simulation with many seeds. */
export interface SimulationResult {
  /** Instances that were in two replicas at once. */
  readonly shared: string[];
  /** Seeds whose replicas did not recover. */
  readonly unrecovered: number[];
}

/** Injects one kind of fault with each seed. */
export async function simulateFleets(
  seeds: readonly number[],
  injectFaults: (fleet: FleetModel) => Promise<void>,
  options: FleetOptions = {},
): Promise<SimulationResult> {
  const shared: string[] = [];
  const unrecovered: number[] = [];
  for (const seed of seeds) {
    const fleet = new FleetModel(seed, options);
    await fleet.run(FORMATION_MS);
    await injectFaults(fleet);
    fleet.orders.faults = RELIABLE;
    fleet.overload.times = NO_OVERLOAD;
    await fleet.run(RECOVERY_MS);
    fleet.end();
    shared.push(...fleet.orders.shared.map((found) => `seed ${seed}: ${found}`));
    if (fleet.countServing() < WANTED_REPLICAS) unrecovered.push(seed);
  }
  return { shared, unrecovered };
}
