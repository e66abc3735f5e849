/** Invalid reports, as a faulty client may send them to any control process. */

const VALID = {
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
const INVALID: readonly string[] = [
  { ...VALID, slots: -1 },
  { ...VALID, slots: 1.5 },
  { ...VALID, slots: 1e12 },
  { ...VALID, group: { ...GROUP, rank: -1 } },
  { ...VALID, group: { ...GROUP, state: "dancing" } },
  { ...VALID, state: "sleeping" },
  { ...VALID, address: "999.1.1.1:99999" },
  { ...VALID, seqNo: 1e300 },
  { ...VALID, born: "yesterday" },
  { ...VALID, zone: "" },
  { ...VALID, service: "\ud800" },
  { service: "llm" },
].map((report) => JSON.stringify(report));

/**
 * Sends each kind of invalid report to a control process under a worker's id.
 * @returns The status of each answer; 0 if there was none.
 */
export function sendInvalidReports(control: string, workerId: string): Promise<number[]> {
  const bodies = [...INVALID, "no JSON", ""];
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
