import { describe, expect, it } from "vitest";
import { getRequestDigest, type RequestContent } from "../../src/containment";

const REQUEST: RequestContent = {
  organisation: "atlas",
  method: "POST",
  path: "/a/b?c=d",
  body: Buffer.from("body"),
};

describe("getRequestDigest", () => {
  it("is the same for the same caller, method, path and body", () => {
    expect(getRequestDigest({ ...REQUEST, body: Buffer.from("body") })).toBe(getRequestDigest(REQUEST));
  });

  it("differs when any part differs or when the boundary between two parts moves", () => {
    const others: RequestContent[] = [
      { ...REQUEST, organisation: undefined },
      { ...REQUEST, organisation: "" },
      { ...REQUEST, method: "PUT" },
      { ...REQUEST, path: "/a/b?c=dbody", body: Buffer.from("") },
      { ...REQUEST, path: "/a/b" },
      { ...REQUEST, body: Buffer.from("body ") },
    ];
    const digests = [REQUEST, ...others].map((request) => getRequestDigest(request));
    expect(new Set(digests).size).toBe(digests.length);
  });
});
