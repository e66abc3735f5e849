/** Settings of the processes. */
export {
  type ControlSettings,
  ControlSettingsSchema,
  type EntrySettings,
  EntrySettingsSchema,
  readControlSettings,
  readEntrySettings,
  readSecret,
  readText,
} from "./Settings";
