/** Runs a stand-in as a process. Arguments: `platform PORT`, or `engine|service PORT ID PLATFORM DOMAIN`. */
import { request } from "node:http";
import { EngineStandin } from "./EngineStandin";
import { type ListedInstance, PlatformStandin } from "./PlatformStandin";
import { ServiceStandin } from "./ServiceStandin";

const LOAD_MS = 500;
const TOKEN_MS = 20;

async function main(): Promise<void> {
  const [kind, port, id = "", platform = "", domain = ""] = process.argv.slice(2);
  if (kind === "platform") {
    await PlatformStandin.start(Number(port));
    return;
  }
  const isEngine = kind === "engine";
  const standin = isEngine
    ? await EngineStandin.start({ id, port: Number(port), loadMs: LOAD_MS, tokenMs: TOKEN_MS })
    : await ServiceStandin.start(id, Number(port));
  await register(platform, {
    id,
    address: standin.address,
    kind: isEngine ? "engine" : "service",
    service: isEngine ? "" : "guichet",
    failure_domain: domain,
    fabric_domain: `${domain}-fabric`,
    leaving: false,
    checks_orders: true,
  });
}

function register(platform: string, instance: ListedInstance): Promise<void> {
  return new Promise((resolve, reject) => {
    const call = request(`http://${platform}/v1/instances`, { method: "POST" }, (answer) => {
      answer.resume();
      answer.once("end", resolve);
    });
    call.once("error", reject);
    call.end(JSON.stringify(instance));
  });
}

await main();
