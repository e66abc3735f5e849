import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { LinkMonitor } from "../../src/gateway/LinkMonitor";
import { type Target, TargetSchema } from "../../src/gen/ploverstage/v1/fleet_pb";

const DOMAINS = 3;

/** Creates an endpoint; endpoints are spread over the failure domains. */
function createTarget(index: number, service = "llm"): Target {
  const address = `10.0.0.${index}:1`;
  return create(TargetSchema, {
    id: `${service}-${index}`,
    service,
    address,
    failureDomain: `zone-${index % DOMAINS}`,
  });
}

/** Adds a failed connection attempt that began 300 ms ago. */
function addConnectFailure(links: LinkMonitor, now: number, target: Target): void {
  const failure = { target, since: now - 300, sentRequestId: undefined, isNewConnection: true };
  links.addFailure(now, failure, DOMAINS);
}

/** Adds an attempt that was sent and broke off or stayed silent. */
function addSentFailure(
  links: LinkMonitor,
  now: number,
  target: Target,
  requestId: string,
  sinceMs = 300,
): void {
  const failure = { target, since: now - sinceMs, sentRequestId: requestId, isNewConnection: false };
  links.addFailure(now, failure, DOMAINS);
}

describe("LinkMonitor", () => {
  it("takes the links for lost when endpoints of two failure domains fail and none has answered since", () => {
    const links = new LinkMonitor();
    links.addAnswer(500, createTarget(9), true);
    addConnectFailure(links, 1_000, createTarget(0));
    expect(links.getState("llm")).toBe("sound");
    addConnectFailure(links, 1_100, createTarget(1));
    expect(links.getState("llm")).toBe("lost");
  });

  it("keeps the links for sound when a whole failure domain fails", () => {
    const links = new LinkMonitor();
    for (let i = 0; i < 9; i++) addConnectFailure(links, 1_000 + i, createTarget(i * DOMAINS));
    expect(links.getState("llm")).toBe("sound");
  });

  it("keeps the links for sound when one endpoint fails again and again", () => {
    const links = new LinkMonitor();
    for (let i = 0; i < 9; i++) addSentFailure(links, 1_000 + i, createTarget(0), `r-${i}`);
    expect(links.getState("llm")).toBe("sound");
  });

  it("keeps the links for sound when endpoints fail while another one answers", () => {
    const links = new LinkMonitor();
    for (let i = 0; i < 9; i++) {
      const now = 1_000 + i * 100;
      links.addAnswer(now, createTarget(9), true);
      addSentFailure(links, now + 60, createTarget(i), `r-${i}`, 500);
    }
    expect(links.getState("llm")).toBe("sound");
  });

  it("keeps the links for sound when one request breaks off at several endpoints, which it may have crashed", () => {
    const links = new LinkMonitor();
    for (let i = 0; i < 3; i++) addSentFailure(links, 1_000 + i * 50, createTarget(i), "r");
    expect(links.getState("llm")).toBe("sound");
    addSentFailure(links, 1_200, createTarget(1), "another");
    expect(links.getState("llm")).toBe("lost");
  });

  it("keeps the links for sound when another endpoint accepts a connection between two that refuse it", () => {
    const links = new LinkMonitor();
    for (let i = 0; i < 6; i++) {
      addConnectFailure(links, 1_000 + i * 100, createTarget(i));
      links.addConnection(1_050 + i * 100, createTarget(9));
    }
    expect(links.getState("llm")).toBe("sound");
  });

  it("keeps the links for sound when failures lie further apart than one cause explains", () => {
    const links = new LinkMonitor();
    addConnectFailure(links, 1_000, createTarget(0));
    addConnectFailure(links, 3_000, createTarget(1));
    expect(links.getState("llm")).toBe("sound");
  });

  it("takes links in one failure domain for lost when the service has no other", () => {
    const links = new LinkMonitor();
    for (const index of [0, DOMAINS]) {
      const target = createTarget(index);
      links.addFailure(1_000, { target, since: 700, sentRequestId: undefined, isNewConnection: true }, 1);
    }
    expect(links.getState("llm")).toBe("lost");
  });

  it("tells lost connections from lost answers", () => {
    const links = new LinkMonitor();
    for (let i = 0; i < 3; i++) {
      expect(links.getState("llm")).toBe("sound");
      links.addAnswer(1_000 + i, createTarget(9), false);
      addConnectFailure(links, 1_002 + i, createTarget(i));
      links.addAnswer(1_003 + i, createTarget(9), false);
    }
    expect(links.getState("llm")).toBe("noConnections");
    links.addConnection(1_100, createTarget(2));
    expect(links.getState("llm")).toBe("noConnections");
    links.addAnswer(1_101, createTarget(2), true);
    expect(links.getState("llm")).toBe("sound");
  });

  it("takes the links of a service with few requests for lost with those of another service", () => {
    const links = new LinkMonitor();
    links.addAnswer(500, createTarget(0, "app"), true);
    for (let i = 0; i < 2; i++) addConnectFailure(links, 1_000, createTarget(i));
    expect(links.lostServices).toEqual(["app", "llm"]);
    links.addAnswer(1_100, createTarget(0, "app"), true);
    expect(links.lostServices).toEqual(["llm"]);
  });

  it("takes the links for sound again once an endpoint has accepted a connection and answered", () => {
    const links = new LinkMonitor();
    for (let i = 0; i < 2; i++) addConnectFailure(links, 1_000, createTarget(i));
    links.addConnection(1_200, createTarget(0));
    expect(links.getState("llm")).toBe("lost");
    links.addAnswer(1_250, createTarget(0), true);
    expect(links.getState("llm")).toBe("sound");
    expect(links.hasLoss).toBe(false);
  });

  it("lets one repeatable request at a time try endpoints once a connection has succeeded", () => {
    const links = new LinkMonitor();
    for (let i = 0; i < 2; i++) addConnectFailure(links, 1_000, createTarget(i));
    expect(links.mayTry(1_100, "llm", true)).toBe(false);
    links.addConnection(1_200, createTarget(0));
    expect(links.mayTry(1_210, "llm", true)).toBe(true);
    expect(links.mayTry(1_210, "llm", false)).toBe(false);
    links.addTrial(1_210);
    expect(links.mayTry(1_300, "llm", true)).toBe(false);
    expect(links.mayTry(1_750, "llm", true)).toBe(true);
  });

  it("lets a request that must not run twice try endpoints when no repeatable one has for a second", () => {
    const links = new LinkMonitor();
    for (let i = 0; i < 2; i++) addConnectFailure(links, 1_000, createTarget(i));
    links.addConnection(1_200, createTarget(0));
    links.addConnection(1_900, createTarget(1));
    expect(links.mayTry(2_100, "llm", false)).toBe(false);
    expect(links.mayTry(2_250, "llm", false)).toBe(true);
  });
});
