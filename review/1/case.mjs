/**
 * A join that was left without an answer is carried out after its worker has confirmed that it left the group. The
 * heartbeat that tells of it arrives late, and the worker is ordered into another group while the head of the first
 * one, which is cut off from control, is still open.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createConfig } from "../support/config.mjs";
import { Engine } from "../support/engine.mjs";
import { runCase } from "../support/main.mjs";
import { BOUNDS, pause, System, waitUntil } from "../support/system.mjs";

const ZONES = ["leith-depot", "sighthill-yard", "craigmillar-hall"];
const SERVICE = "huvo11a";
/** A model of groups of two, as in the sheet of glenmorran-skips. */
const MODEL = { name: "daka510000", size: 2, share: 1, pace: 1, loadS: 12, warmS: 1.1 };
const FORM_MS = 300;
/** An order left unanswered is carried out 2 to 12 s later. */
const LATE_MS = 9_000;
const CUT_AFTER_OPEN_MS = 300;
/** When a third worker is added, after the first join; it is staged some 1.3 s later. */
const THIRD_AFTER_MS = 8_000;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ addresses, record, hasTrouble, cleanups }) => {
    const bounds = { fencingEnforced: false };
    const system = await System.start(addresses, { entries: 1, zones: ZONES, bounds });
    cleanups.push(() => system.stop());
    const violations = [];
    const onJoin = (worker, { group, epoch }) => {
      const { place } = worker;
      if (place === undefined || place.name === group || !worker.isInOpenGroup) return;
      violations.push({ worker: worker.name, in_group: place.name, takes_join_of: group, epoch });
    };
    const create = (name, i, domain = "d0") => {
      const engine = new Engine({
        ip: addresses.createIp(),
        name,
        service: SERVICE,
        zone: ZONES[i],
        domain,
        controls: system.controlAddresses,
        record,
        model: MODEL,
        formMs: FORM_MS,
        stallMs: BOUNDS.stallMs,
        onJoin,
      });
      cleanups.push(() => engine.stop());
      return engine;
    };
    const engine = {
      slots: 18,
      kvCapacityTokens: 969_230,
      models: [MODEL],
      loadsPerS: 4.5,
      loads_at_once: 6,
      retained: 1,
      far_x: 2.5,
      formMs: FORM_MS,
    };
    const route = {
      name: "r-letter",
      host: "ficu95.example",
      pathPrefix: "/lohu930/",
      routeType: "streaming",
      timeoutMs: 8_000,
      targetLatencyMs: 500,
      targetGapMs: 300,
      priority: 1,
      service: SERVICE,
      maxAttempts: 2,
      allowAnonymous: false,
      sticky: true,
      resumable: true,
    };
    const services = [
      { name: SERVICE, healthPath: "/health", maxConnections: 304, protocol: "h1", tls: false, engine },
    ];
    await system.putConfig(createConfig(7, [route], { services }));
    const [first, second] = [create("first", 0), create("second", 1)];
    // Which of the two becomes the head is control's choice; it orders by id.
    const [head, member] = first.id < second.id ? [first, second] : [second, first];
    if (hasTrouble) member.lateJoinMs = LATE_MS;
    await Promise.all([first.start(), second.start()]);
    // Five workers, so that the one that is cut off is a fifth of them; these three are in a domain of their own.
    for (const i of ZONES.keys()) await create(`other-${i + 1}`, i, "d1").start();
    const hasJoinOrder = () => (hasTrouble ? member.lateJoinMs === undefined : member.place !== undefined);
    await waitUntil("an order to join", hasJoinOrder);
    const unansweredAt = performance.now();
    await waitUntil("the group is open", () => [first, second].some(({ place }) => place?.state === "open"));
    if (head.place.state !== "open") throw new Error("the other worker is the head");
    await pause(CUT_AFTER_OPEN_MS);
    if (hasTrouble) {
      head.isCut = true;
      record.add("cut_from_control", { worker: head.name, group: head.place.name });
    }
    await pause(Math.max(0, unansweredAt + THIRD_AFTER_MS - performance.now()));
    const third = create("third", 2);
    await third.start();
    record.add("added", { worker: third.name });
    await pause(8_000);
    return violations;
  },
);
