import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { parseConfiguration } from "../../src/configuration";
import { InvalidFile } from "../../src/errors";

const BASE = `[weights]
group_downtime = 1
stranded_accelerators = 1
[[models]]
name = "m"
version = "1"
[[groups]]
name = "g"
model = "m"
replicas = 2
instances_per_replica = 4
[[organisations]]
name = "a"
[[policy.classes]]
name = "all"
when = "true"
priority = 0
deadline = 1000
`;

function getFaults(text: string): string[] {
  try {
    parseConfiguration("c.toml", text);
    return [];
  } catch (cause) {
    if (!(cause instanceof InvalidFile)) throw cause;
    return cause.message.split("\n");
  }
}

describe("parseConfiguration", () => {
  function doTest(from: string, to: string, ...faults: string[]) {
    expect(getFaults(BASE.replace(from, to))).toEqual(faults);
  }

  it("accepts a valid configuration", () => doTest("", ""));

  it("applies default values", () => {
    const configuration = parseConfiguration("c.toml", BASE);
    expect(configuration.timing.lease).toBe(3_000);
    expect(configuration.limits.replicaConcurrency).toBe(64);
  });

  it("reports the line of an unknown key and suggests the most similar key", () =>
    doTest(
      "replicas = 2",
      "replica = 2\nreplicas = 2",
      'c.toml:10: groups[0].replica: unknown key "replica"; did you mean "replicas"?',
    ));

  it("rejects a group whose model is not declared", () =>
    doTest('model = "m"', 'model = "n"', 'c.toml:9: groups[0].model: model "n" is not declared'));

  it("rejects a name that is declared twice", () =>
    doTest(
      "[[organisations]]",
      '[[organisations]]\nname = "a"\n[[organisations]]',
      'c.toml:15: organisations[1].name: "a" is declared twice',
    ));

  it("rejects a group whose minimum is above its number of replicas", () =>
    doTest(
      "replicas = 2",
      "replicas = 2\nminimum = 3",
      "c.toml:11: groups[0].minimum: minimum 3 is above replicas 2",
    ));

  it("rejects a renewal interval above half of the lease", () =>
    doTest(
      "[[models]]",
      "[timing]\nlease = 1000\nrenew = 600\n[[models]]",
      "c.toml:6: timing.renew: a lease must be renewed at least twice before it expires",
    ));

  it("rejects a policy whose last class does not match every request", () =>
    doTest(
      'when = "true"',
      "when = \"request.kind == 'x'\"",
      'c.toml:16: policy.classes[0].when: the last class must match every request: when = "true"',
    ));

  it("rejects an expression with an unknown field", () => {
    const [fault] = getFaults(BASE.replace('when = "true"', 'when = "request.kin == 1 || true"'));
    expect(fault).toContain('c.toml:16: policy.classes[0].when: "request" has no field "kin"');
  });

  it("rejects an expression whose result is not a boolean", () => {
    const [fault] = getFaults(BASE.replace('when = "true"', 'when = "request.kind"'));
    expect(fault).toContain("it must give a bool");
  });

  it("rejects an expression above the cost limit", () => {
    const long = Array.from({ length: 60 }, () => "hour > 1.0").join(" || ");
    expect(getFaults(BASE.replace('when = "true"', `when = "${long}"`))[0]).toContain("120 is the maximum");
  });

  it("reports the line of a syntax error", () => expect(getFaults("a = 1\nb = [")[0]).toMatch(/^c\.toml:2:/));

  it("reports all faults of a file together", () => {
    const faults = getFaults(
      BASE.replace("group_downtime = 1", "group_downtime = 0").replace("deadline = 1000", ""),
    );
    expect(faults).toHaveLength(2);
  });

  it.each(["casablanca", "jeonju"])("accepts examples/%s.toml", (name) => {
    expect(getFaults(readFileSync(`examples/${name}.toml`, "utf8"))).toEqual([]);
  });
});
