import { createClient } from "@connectrpc/connect";
import { expect, it } from "vitest";
import { CallScheduler } from "../../src/admission";
import { FleetService } from "../../src/gen/ploverstage/v1/fleet_pb";
import { RpcServer, TransportPool } from "../../src/rpc";
import { getFreeAddresses } from "../support/ports";

const SUSPICIONS = 200;

it("an order that comes in behind calls of less value is begun before nearly all of them", async () => {
  const [listen] = (await getFreeAddresses(1)) as [string];
  const begun: string[] = [];
  const server = await RpcServer.start({
    listen,
    interceptors: [],
    calls: new CallScheduler({ increment: () => {} } as never),
    routes: (router) => {
      router.service(FleetService, {
        suspect: () => {
          begun.push("suspicion");
          return {};
        },
        putDeclaration: () => {
          begun.push("order");
          return {};
        },
        getDeclaration: () => ({}),
      });
    },
  });
  const client = createClient(FleetService, new TransportPool(undefined).getTransport(listen));
  await client.getDeclaration({});
  const suspicions = Array.from({ length: SUSPICIONS }, () => client.suspect({}));
  await Promise.all([...suspicions, client.putDeclaration({ version: 1 })]);
  await server.stop();
  expect(begun).toHaveLength(SUSPICIONS + 1);
  expect(begun.indexOf("order")).toBeLessThan(SUSPICIONS / 2);
});
