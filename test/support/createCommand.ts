import { create, toBinary } from "@bufbuild/protobuf";
import { type Command, CommandSchema } from "../../src/gen/ploverstage/v1/state_pb";

/** Encodes a command as in the consensus log. */
export function createCommand(body: Command["body"]): Uint8Array {
  return toBinary(CommandSchema, create(CommandSchema, { body }));
}
