import { describe, expect, it } from "vitest";
import { SystemClock } from "../../src/clock";
import type { PutDeclarationRequest } from "../../src/gen/ploverstage/v1/fleet_pb";
import { addFleetRoutes } from "../../src/registration/fleetRoutes";
import { Registrar } from "../../src/registration/Registrar";

const SILENT = { info: () => {}, warn: () => {} } as never;
const METRICS = { timing: () => {}, increment: () => {} } as never;

function createDocument(version: number): Uint8Array {
  return new TextEncoder().encode(String(version));
}

describe("an operator's declaration", () => {
  it("shares the call in progress for the same declaration, and no other", async () => {
    const answers: (() => void)[] = [];
    let parsed = 0;
    const registrar = new Registrar({
      client: { call: () => new Promise<void>((resolve) => answers.push(resolve)) },
      format: {
        parse: (document: Uint8Array) => {
          parsed += 1;
          return { version: Number(new TextDecoder().decode(document)) };
        },
      },
      clock: new SystemClock(),
      logger: SILENT,
      metrics: METRICS,
    } as never);
    const first = [7, 7, 8, 7].map((version) => registrar.putDeclaration(createDocument(version)));
    expect([parsed, answers.length]).toEqual([2, 2]);
    for (const answer of answers) answer();
    expect((await Promise.all(first)).map(({ version }) => version)).toEqual([7, 7, 8, 7]);
    void registrar.putDeclaration(createDocument(7));
    expect([parsed, answers.length]).toEqual([3, 3]);
  });

  it("is confirmed without another proposal if its version is not newer than the committed one", async () => {
    let proposed = 0;
    let confirmed = 0;
    let put: (request: PutDeclarationRequest) => Promise<object> = async () => ({});
    const router = {
      service: (_: unknown, routes: { putDeclaration: typeof put }) => {
        put = routes.putDeclaration;
      },
    };
    addFleetRoutes(
      router as never,
      {
        driver: {
          machine: { getDeclaration: () => ({ version: 7 }) },
          propose: async () => {
            proposed += 1;
          },
        },
        guard: {
          run: async (action: () => object) => {
            confirmed += 1;
            return action();
          },
          propose: (action: (leadership: object) => Promise<object>) => action({ publish: () => {} }),
        },
        clock: new SystemClock(),
        calls: { track: (_: string, outcome: Promise<object>) => outcome },
      } as never,
    );
    for (const version of [6, 7]) await put({ version } as PutDeclarationRequest);
    expect([proposed, confirmed]).toEqual([0, 2]);
    await put({ version: 8 } as PutDeclarationRequest);
    expect([proposed, confirmed]).toEqual([1, 2]);
  });
});
