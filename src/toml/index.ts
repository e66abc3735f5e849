/** Parsing of TOML files. */
export { KeyLocator } from "./KeyLocator";
export { sortFaults, TomlDocument } from "./TomlDocument";
