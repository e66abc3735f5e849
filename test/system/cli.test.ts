import { execFile } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { Cluster } from "../support/Cluster";
import { callEntry, createChat } from "../support/callEntry";
import { createConfiguration } from "../support/configuration";
import { waitUntil } from "../support/waitUntil";

interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

describe("ploverstage", () => {
  let cluster: Cluster;

  beforeAll(async () => {
    cluster = await Cluster.start({ engines: 5, entries: 1 });
  });
  afterAll(() => cluster.stop());

  function run(...args: string[]): Promise<CommandResult> {
    const env = {
      ...process.env,
      PLOVERSTAGE_CONTROL: cluster.operatorAddresses.join(","),
      PLOVERSTAGE_SECRET_FILE: join(cluster.folder, "operator"),
    };
    return new Promise((resolve) => {
      execFile(process.execPath, ["dist/test/ploverstage.cjs", ...args], { env }, (error, out, err) =>
        resolve({ code: typeof error?.code === "number" ? error.code : 0, out, err }),
      );
    });
  }

  function write(name: string, text: string): string {
    const file = join(cluster.folder, name);
    writeFileSync(file, text);
    return file;
  }

  it("prints help and version", async () => {
    expect(await run("--version")).toMatchObject({ code: 0, out: "0.1.0\n" });
    const help = await run("--help");
    expect(help.code).toBe(0);
    for (const name of ["init", "control", "entry", "check", "apply", "history", "status", "report"]) {
      expect(help.out).toContain(`  ${name}`);
    }
  });

  it("exits with 2 on an unknown command", async () => expect((await run("nonsense")).code).toBe(2));

  it("reports file, line and key of an error and exits with 2", async () => {
    const file = write("wrong.toml", createConfiguration().replace("replicas = 1", "replica = 1"));
    const checked = await run("check", file);
    expect(checked.code).toBe(2);
    expect(checked.err).toMatch(
      /wrong\.toml:\d+: groups\[0\]\.replica: unknown key "replica"; did you mean "replicas"\?/,
    );
    expect((await run("apply", file, "--yes")).code).toBe(2);
  });

  it("checks settings files, and a process with invalid settings exits with 2", async () => {
    expect(await run("check", join(cluster.folder, "control-0.toml"))).toMatchObject({ code: 0 });
    const file = write(
      "settings.toml",
      "[process]\nname = 'x'\nfailure_domain = 'd'\n[entry]\nlistn = '1'\n",
    );
    const ran = await run("entry", "--settings", file);
    expect(ran.code).toBe(2);
    expect(ran.err).toContain('unknown key "listn"; did you mean "listen"?');
  });

  it("applies a configuration and prints status, history and the burn report", async () => {
    const file = write("right.toml", createConfiguration());
    const applied = await run("apply", file, "--yes", "--wait", "--operator", "amina");
    expect(applied).toMatchObject({ code: 0, err: "" });
    expect(applied.out).toContain("in force on every entry");
    await cluster.waitForRouting(1);
    await callEntry(cluster.entryAddresses[0]!, { body: createChat("counted") });

    const status = await run("status");
    expect(status.out).toContain("! 1 instances are in no serving replica: no group wants it");
    const json = JSON.parse((await run("status", "--json")).out);
    expect(json.configurationVersion).toBe(1);
    expect((await run("history")).out).toMatch(/1 +amina/);

    const burn = await waitUntil("the burn report has rows", async () => {
      const report = JSON.parse((await run("report", "burn", "--json")).out);
      return report.rows.length > 0 && report;
    });
    expect(burn.rows[0]).toMatchObject({ organisation: "alpha", requestClass: "all" });
    const page = join(cluster.folder, "burn.html");
    expect((await run("report", "burn", "--html", page)).code).toBe(0);
  });

  it("reports the winner of a conflict and exits with 1", async () => {
    const file = write("late.toml", `${createConfiguration()}# late\n`);
    const ran = await run("apply", file, "--yes", "--base", "0");
    expect(ran.code).toBe(1);
    expect(ran.err).toMatch(/made version \d+ first/);
  });

  it("does not apply without --yes if there is no terminal for the confirmation", async () => {
    const file = write("asked.toml", `${createConfiguration()}# asked\n`);
    const ran = await run("apply", file);
    expect(ran.code).toBe(1);
    expect(ran.out).toContain("+# asked");
  });

  it("exits with 1 when no control process answers", async () => {
    const ran = await run("status", "--control", "127.0.0.1:1", "--timeout", "1");
    expect(ran.code).toBe(1);
    expect(ran.err).toContain("no control process leads");
  });
});
