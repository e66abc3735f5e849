import { create } from "@bufbuild/protobuf";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  applyConfigurationPatch,
  createConfigurationPatch,
  getConfigurationDigest,
} from "../../src/configuration";
import { ClusterView } from "../../src/entry";
import { RenewResponseSchema } from "../../src/gen/ploverstage/v1/control_pb";
import { ReplicaPhase } from "../../src/gen/ploverstage/v1/state_pb";
import { createConfiguration } from "../support/configuration";

const INITIAL_TEXT = createConfiguration();
const NEXT_TEXT = createConfiguration({ replicas: 7 });

function createView(): ClusterView {
  const view = new ClusterView();
  view.apply(
    create(RenewResponseSchema, { term: 1, configurationVersion: 1, configurationText: INITIAL_TEXT }),
  );
  return view;
}

function createPatchResponse(patch: string, digest = getConfigurationDigest(NEXT_TEXT)) {
  const fields = { configurationPatch: patch, configurationDigest: digest };
  return create(RenewResponseSchema, { term: 1, configurationVersion: 2, ...fields });
}

describe("ClusterView", () => {
  describe("apply", () => {
    it("applies a configuration that is sent as a patch", () => {
      const view = createView();
      expect(view.apply(createPatchResponse(createConfigurationPatch(INITIAL_TEXT, NEXT_TEXT)))).toBe(true);
      expect(view.configuration).toMatchObject({ version: 2, text: NEXT_TEXT });
      expect(view.configuration?.declared.groups[0]?.replicas).toBe(7);
    });

    it.each([
      [
        "was created from a different text",
        createConfigurationPatch(createConfiguration({ replicas: 3 }), NEXT_TEXT),
      ],
      [
        "results in a different text",
        createConfigurationPatch(INITIAL_TEXT, createConfiguration({ replicas: 9 })),
      ],
      ["is malformed", "@@ nonsense"],
    ])("keeps its configuration and requests the whole text if a patch %s", (_, patch) => {
      const view = createView();
      expect(view.apply(createPatchResponse(patch))).toBe(false);
      expect(view.needsText).toBe(true);
      expect(view.configuration?.version).toBe(1);
      view.apply(
        create(RenewResponseSchema, { term: 1, configurationVersion: 2, configurationText: NEXT_TEXT }),
      );
      expect(view.needsText).toBe(false);
      expect(view.configuration?.text).toBe(NEXT_TEXT);
    });

    it("ignores a response that is older than the view", () => {
      const view = createView();
      view.apply(createPatchResponse(createConfigurationPatch(INITIAL_TEXT, NEXT_TEXT)));
      expect(view.apply(create(RenewResponseSchema, { term: 1, configurationVersion: 1 }))).toBe(false);
      expect(view.apply(create(RenewResponseSchema, { term: 0, configurationVersion: 2 }))).toBe(false);
      expect(view.configuration?.version).toBe(2);
    });

    it("applies changes of replicas and removes released ones", () => {
      const view = createView();
      const base = { term: 1, configurationVersion: 1 };
      const replicas = ["a", "b"].map((id) => ({ id, model: "m", phase: ReplicaPhase.SERVING }));
      view.apply(create(RenewResponseSchema, { ...base, assignmentIndex: 1, full: true, replicas }));
      const released = [{ id: "a", model: "m", phase: ReplicaPhase.RELEASED }];
      view.apply(create(RenewResponseSchema, { ...base, assignmentIndex: 2, replicas: released }));
      expect(view.getServingReplicas("m").map((replica) => replica.id)).toEqual(["b"]);
    });
  });
});

describe("applyConfigurationPatch", () => {
  it("produces the new text from the old text and the patch, for any two texts", () => {
    const lines = fc.array(fc.constantFrom("", "a = 1", "b = 2", "[t]", "# é"), { maxLength: 12 });
    const text = lines.map((parts) => parts.join("\n"));
    const property = fc.property(text, text, (before, after) => {
      const patch = createConfigurationPatch(before, after);
      expect(applyConfigurationPatch(before, patch, getConfigurationDigest(after))).toBe(after);
    });
    fc.assert(property, { seed: 1, numRuns: 500 });
  });
});
