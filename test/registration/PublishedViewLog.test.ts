import { create } from "@bufbuild/protobuf";
import { describe, expect, it } from "vitest";
import { DeclarationSchema } from "../../src/gen/ploverstage/v1/state_pb";
import { FleetView } from "../../src/registration/FleetView";
import { ShownViewLog } from "../../src/registration/PublishedViewLog";

describe("ShownViewLog", () => {
  it("tells each change of what watchers are shown, five a second at most, the last one always", () => {
    const lines: object[] = [];
    const log = new ShownViewLog({ info: (line: object) => lines.push(line) } as never);
    const view = new FleetView();
    log.update(0, { term: 0, view });
    log.update(1_000, { term: 0, view });
    view.setDeclaration(create(DeclarationSchema, { version: 7 }));
    log.update(1_050, { term: 3, view });
    log.update(1_100, undefined);
    log.update(1_150, { term: 4, view });
    expect(lines).toHaveLength(2);
    log.update(1_250, { term: 4, view });
    log.update(1_500, undefined);
    expect(lines).toEqual([
      { event: "view_shown", is_shown: true, term: 0, declaration: 0 },
      { event: "view_shown", is_shown: true, term: 3, declaration: 7 },
      { event: "view_shown", is_shown: true, term: 4, declaration: 7 },
      { event: "view_shown", is_shown: false, term: 0, declaration: 0 },
    ]);
  });
});
