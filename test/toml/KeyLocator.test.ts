import { describe, expect, it } from "vitest";
import { KeyLocator } from "../../src/toml";

const TEXT = `top = 1
[limits]   # a comment
total = 5
note = """
[not.a.table]
inner = 1
"""
[[groups]]
name = "a"
[[groups]]
name = "b"
[[policy.classes]]
when = "true"
[[policy.classes]]
"when" = "false"
`;

describe("KeyLocator", () => {
  describe("getLine", () => {
    function doTest(path: (string | number)[], line: number) {
      expect(new KeyLocator(TEXT).getLine(path)).toBe(line);
    }

    it("finds a top-level key", () => doTest(["top"], 1));
    it("finds a key of a table", () => doTest(["limits", "total"], 3));
    it("finds a table", () => doTest(["limits"], 2));
    it("finds the keys of each array element", () => {
      doTest(["groups", 0, "name"], 9);
      doTest(["groups", 1, "name"], 11);
    });
    it("finds elements of a nested array and quoted keys", () => {
      doTest(["policy", "classes", 0, "when"], 13);
      doTest(["policy", "classes", 1, "when"], 15);
    });
    it("ignores keys inside a multi-line string", () => doTest(["limits", "inner"], 2));
    it("returns the nearest enclosing line for a missing key", () => doTest(["groups", 1, "model"], 10));
    it("returns 0 if no part of the path exists", () => doTest(["nowhere"], 0));
  });
});
