/** Answers of a service that ends, or that breaks off, before it has sent all of them. */
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { pause } from "../../src/clock";
import { resetConnection } from "../../src/http";
import { Cluster } from "../support/Cluster";
import { callEntry } from "../support/callEntry";
import { createConfiguration } from "../support/configuration";
import { RawCall } from "../support/RawCall";
import { waitUntil } from "../support/waitUntil";

const PATH = "/v1/services/guichet/members";
const ORGANISATION = { "ploverstage-organisation": "alpha", connection: "close" };
/** Shorter than the time for which an unused connection of a caller stays open. */
const MAX_CLOSE_MS = 2_000;
/** Time in which an entry passes on what it has received. */
const PASS_ON_MS = 200;
/** More than an entry holds of one answer. */
const MANY_BYTES = 2_000_000;
const PART = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart";

describe("an answer without a length", () => {
  let cluster: Cluster;
  beforeEach(async () => {
    cluster = await Cluster.start({ engines: 1, services: 1, entries: 1 });
    await cluster.apply(createConfiguration({ replicas: 1, size: 1 }));
    await waitUntil("the service answers", async () => {
      const answer = await callEntry(cluster.entryAddresses[0]!, { method: "GET", path: PATH });
      return answer.status === 200;
    });
  });
  afterEach(() => cluster.stop());

  function endWithAnswer(socket: Socket): void {
    socket.write(PART, () => void cluster.services[0]!.stop());
  }

  /** Sends a call whose answer a function writes. */
  function call(version: string, answerWith: (socket: Socket) => void): Promise<RawCall> {
    cluster.services[0]!.answerWith = answerWith;
    const headers = { ...ORGANISATION, "ploverstage-repeatable": "no" };
    return new RawCall(cluster.entryAddresses[0]!, { path: PATH, id: "call-1", headers, version }).ended;
  }

  // Guards against a part of an answer that looks whole because its service's process ended in the middle of it.
  it("looks broken when its service ends with it", async () => {
    const answer = await call("1.1", endWithAnswer);
    expect(answer.text).toContain("part");
    expect(answer.isComplete).toBe(false);
  });

  // Guards against callers that take the orderly end of a broken answer for the end of a whole one.
  it.each([
    ["ends with it", endWithAnswer],
    ["resets the connection", (socket: Socket) => void socket.write(PART, () => resetConnection(socket))],
    ["sends more than an entry holds", (socket: Socket) => void socket.end(PART + "b".repeat(MANY_BYTES))],
  ])(
    "is replaced by a refusal to a caller that speaks HTTP/1.0 when its service %s",
    async (_name, script) => {
      const answer = await call("1.0", script);
      expect(answer.status).toBe(502);
      expect(answer.isComplete).toBe(true);
      expect(answer.text).not.toContain("part");
    },
  );

  // Guards against a part that a caller without chunks takes for a whole answer because its entry was killed.
  it("is not begun for a caller that speaks HTTP/1.0 when its entry is killed", async () => {
    let isSent = false;
    const answer = call("1.0", (socket) => {
      socket.write(PART, () => {
        isSent = true;
      });
    });
    await waitUntil("the service has sent a part", () => isSent);
    await pause(PASS_ON_MS);
    await cluster.entries[0]!.kill();
    expect((await answer).text).toBe("");
  });

  it.each(["1.0", "1.1"])("looks complete when its service ends it and runs on: HTTP/%s", async (version) => {
    const answer = await call(version, (socket) => {
      socket.end(PART);
    });
    expect(answer.text).toContain("part");
    expect(answer.isComplete).toBe(true);
  });

  // Guards against callers that read to the close and wait for it long after the last byte of a whole answer.
  it("ends the connection of a caller that would keep it", async () => {
    cluster.services[0]!.answerWith = (socket) => {
      socket.end(PART);
    };
    const headers = { "ploverstage-organisation": "alpha", "ploverstage-repeatable": "no" };
    const call = new RawCall(cluster.entryAddresses[0]!, { path: PATH, id: "call-1", headers });
    const ended = await Promise.race([call.ended, pause(MAX_CLOSE_MS)]);
    call.close();
    expect(ended?.isComplete).toBe(true);
  });

  it.each(["1.0", "1.1"])("of the entry itself has a length: HTTP/%s", async (version) => {
    const addresses = new RawCall(cluster.entryAddresses[0]!, { path: "/v1/none", id: "call-1", version });
    await waitUntil("the refusal has arrived", () => addresses.isComplete);
    expect(addresses.text.toLowerCase()).toContain("\r\ncontent-length: ");
    addresses.close();
  });
});
