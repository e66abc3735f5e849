/** Small configurations for tests. */

/** Options of a test configuration. */
export interface TestConfigurationOptions {
  readonly replicas?: number;
  readonly size?: number;
  readonly version?: string;
  readonly extra?: string;
  readonly timing?: string;
  readonly limits?: string;
}

/** Creates a configuration with one model, one service and two organisations. Times are in milliseconds. */
export function createConfiguration(options: TestConfigurationOptions = {}): string {
  const { replicas = 1, size = 4, version = "1", extra = "", timing = "", limits = "" } = options;
  return `[weights]
group_downtime = 1
stranded_accelerators = 1
[timing]
address_ttl = 300
lease = 1500
renew = 150
probe = 100
presence_window = 800
${timing}
[limits]
idle = 3000
${limits}
[planning]
max_wait = 4000
[[models]]
name = "m"
version = "${version}"
adapters = ["fine"]
load = 200
[[groups]]
name = "g"
model = "m"
replicas = ${replicas}
instances_per_replica = ${size}
[[services]]
name = "guichet"
not_repeatable_paths = ["/issue"]
[[organisations]]
name = "alpha"
[[organisations]]
name = "beta"
share = 2
[[policy.classes]]
name = "balance"
when = 'request.kind == "balance"'
priority = 0
deadline = 5000
[[policy.classes]]
name = "all"
when = "true"
priority = 1
deadline = 20000
${extra}
`;
}
