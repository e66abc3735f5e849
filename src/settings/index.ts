/** Settings of the processes of this system. */
export { LiveSettings, type LiveSettingsOptions } from "./LiveSettings";
export {
  type ControlSettings,
  ControlSettingsSchema,
  type EntrySettings,
  EntrySettingsSchema,
  type FleetControlSettings,
  FleetControlSettingsSchema,
  type GatewaySettings,
  GatewaySettingsSchema,
  readControlSettings,
  readEntrySettings,
  readFleetControlSettings,
  readGatewaySettings,
  readSecret,
  readText,
} from "./Settings";
