/**
 * Operators' lists that the demo publishes: classes, plans, accounts, models and routes. They
 * follow the deployment of Pecan Hollow Software.
 */

/** Names that the lists define and that `DemoDescription` or tests refer to. */
export const DEMO_NAMES = {
  account: 'fan-shop',
  model: 'small-chat',
  orderPath: '/orders',
  service: 'order-desk',
} as const;

/** Lists as a TOML document. */
export const DEMO_LISTS = `
[[classes]]
id = "stock-check"
tier = 0
first_token_ms = 250

[[classes]]
id = "staff-question"
tier = 1
first_token_ms = 890

[[classes]]
id = "order"
tier = 1
first_token_ms = 1000

[[classes]]
id = "draft"
tier = 3
first_token_ms = 5000
floor_share = 0.05

[[plans]]
id = "shop"
weight = 1.0
classes = ["stock-check", "staff-question", "order", "draft"]
models = ["${DEMO_NAMES.model}"]

[[plans]]
id = "chain"
weight = 3.0
classes = ["stock-check", "staff-question", "order", "draft"]
models = ["${DEMO_NAMES.model}"]

[[accounts]]
id = "${DEMO_NAMES.account}"
plan = "shop"

[[accounts]]
id = "fan-chain"
plan = "chain"

[[models]]
id = "${DEMO_NAMES.model}"
default_class = "staff-question"

[[routes]]
path = "${DEMO_NAMES.orderPath}"
methods = ["POST"]
service = "${DEMO_NAMES.service}"
class = "order"
repeatable = false

[[routes]]
path = "/stock"
methods = ["GET", "POST"]
service = "${DEMO_NAMES.service}"
class = "stock-check"
repeatable = true
query = ["part"]

[[routes]]
path = "/opening-hours"
methods = ["GET"]
service = "${DEMO_NAMES.service}"
class = "stock-check"
repeatable = true
open = true
`;

/**
 * The same lists with targets of a minute. On a busy machine a daemon refuses requests that would
 * miss the usual targets, which fails tests that check something else.
 */
export const DEMO_LISTS_WITH_LONG_TARGETS = DEMO_LISTS.replaceAll(
  /first_token_ms = \d+/g,
  'first_token_ms = 60000',
);
