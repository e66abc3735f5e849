/** The replicated configuration. */
export {
  type Configuration,
  ConfigurationSchema,
  type Group,
  type Limits,
  type Model,
  type Organisation,
  type RequestClass,
  type Service,
  type Timing,
} from "./Configuration";
export {
  applyConfigurationPatch,
  createConfigurationPatch,
  getConfigurationDigest,
} from "./ConfigurationPatch";
export { diffConfiguration } from "./diffConfiguration";
export { parseConfiguration } from "./parseConfiguration";
