/** Reports that another writer made, as any control process may be sent them. */

const SOUND = {
  service: "llm",
  address: "127.0.0.1:9",
  zone: "zone-a",
  version: "v1",
  slots: 4,
  state: "ready",
  coldRemainingMs: 0,
  seqNo: 1_000_000,
  born: 1,
};
const GROUP = { name: "g", epoch: 1, rank: 0, state: "ready" };
const ODD: readonly string[] = [
  { ...SOUND, slots: -1 },
  { ...SOUND, slots: 1.5 },
  { ...SOUND, slots: 1e12 },
  { ...SOUND, group: { ...GROUP, rank: -1 } },
  { ...SOUND, group: { ...GROUP, state: "dancing" } },
  { ...SOUND, state: "sleeping" },
  { ...SOUND, address: "999.1.1.1:99999" },
  { ...SOUND, seqNo: 1e300 },
  { ...SOUND, born: "yesterday" },
  { ...SOUND, zone: "" },
  { ...SOUND, service: "\ud800" },
  { service: "llm" },
].map((report) => JSON.stringify(report));

/**
 * Sends every kind of odd report to a control process, in the name of a worker.
 * @returns Their statuses; 0 where there was no answer.
 */
export function sendInvalidReports(control: string, workerId: string): Promise<number[]> {
  const bodies = [...ODD, "no JSON", ""];
  return Promise.all(
    bodies.map(async (body) => {
      const url = `http://${control}/-/Instances.Heartbeat/${workerId}`;
      const answer = await fetch(url, { method: "POST", body, signal: AbortSignal.timeout(1_000) }).catch(
        () => undefined,
      );
      return answer?.status ?? 0;
    }),
  );
}
