/** Plays a fleet in trouble with many seeds. */
import { FleetModel, type FleetOptions } from "./FleetModel";
import { RELIABLE } from "./OrderModel";
import { CALM } from "./OverloadModel";

/** The first of the seeds, and how many: others are tried by hand. */
const [FIRST_SEED = 1, SEED_COUNT = 40] = process.env.PLOVERSTAGE_MODEL_SEEDS?.split(",").map(Number) ?? [];
/** Seeds of what goes wrong, and when. */
export const SEEDS = Array.from({ length: SEED_COUNT }, (_, i) => FIRST_SEED + i);
export const FORMATION_MS = 6_000;
/** Long enough for a head without its members to break, and for replicas to be formed again. */
const RECOVERY_MS = 15_000;
/** Two fabric domains of seven instances, replicas of three. */
export const WANTED_REPLICAS = 4;

/** What many seeds came to. */
export interface Outcome {
  /** Instances that were in two replicas. */
  readonly shared: string[];
  /** Seeds whose replicas did not come back. */
  readonly unrecovered: number[];
}

/** Plays one kind of trouble with each seed. */
export async function playFleet(
  seeds: readonly number[],
  trouble: (fleet: FleetModel) => Promise<void>,
  options: FleetOptions = {},
): Promise<Outcome> {
  const shared: string[] = [];
  const unrecovered: number[] = [];
  for (const seed of seeds) {
    const fleet = new FleetModel(seed, options);
    await fleet.run(FORMATION_MS);
    await trouble(fleet);
    fleet.orders.faults = RELIABLE;
    fleet.overload.times = CALM;
    await fleet.run(RECOVERY_MS);
    fleet.end();
    shared.push(...fleet.orders.shared.map((found) => `seed ${seed}: ${found}`));
    if (fleet.countServing() < WANTED_REPLICAS) unrecovered.push(seed);
  }
  return { shared, unrecovered };
}
