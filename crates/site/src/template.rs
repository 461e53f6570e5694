//! A commented site file to start from, as printed by `foldtrack init`.

/// A site file that passes validation.
pub const TEMPLATE: &str = r#"# The site file of foldtrack. `foldtrack check FILE` reports all errors in it at once.
# Durations are written "250ms", "3s" or "1h 30m", sizes "64KiB" or "256MiB", rates "250 msgs/s" or "30 msgs/min".

[site]
name = "my-site"
listen = "127.0.0.1:8080"       # address on which services submit messages
state = "foldtrack-state"       # folder for persistent state; used by one process at a time
durability = "machine"          # accepted messages survive a power failure; "process": only a crash of the process, but faster

[limits]
memory = "256MiB"
descriptors = 1024
disk = "256MiB"                 # for the whole state folder
messages = 10000                # held at the same time; beyond that, clients are refused with a retry-after
calls = 256                     # concurrent calls to partners
attempts = 8                    # maximum for one message
longest-wait = "10s"            # maximum retry-after for a refused client

[ends]                          # retention of outcomes, until a client has acknowledged them and after that
count = 100000
size = "32MiB"
age = "7days"

[admission]                     # admission control when connections run short
known = []                      # networks of known clients: ["10.1.0.0/16"]; others become known by submitting messages
reserve = 0.5                   # share of the connections reserved for known clients

[calls]
connection-idle = "15s"         # partners close idle connections after this
connect-timeout = "1s"

# A class is the first segment of the path that clients post to: POST /record-change/KEY
# effect: "repeatable" (may be sent any number of times), "keyed" (partners drop repeats for `remembered`),
# "once" (must never take effect twice).
[class.record-change]
effect = "keyed"
remembered = "10s"
ordered = true                  # messages with the same order key are delivered one at a time, in order
aim = "3s"                      # target latency
deadline = "24s"                # given up after this time
refuse-after = "10s"            # refused at intake if the expected wait is longer; if omitted: 0.6 of its time
worth = 1
late-worth = 0.5                # share of the worth that remains at the deadline

[class.payment]
effect = "once"
aim = "3s"
deadline = "24s"
worth = 3
late-worth = 0.4

# [kind.NAME] groups partners; routes-apart = true if each endpoint has its own limits and outages.
[kind.records-office]
routes-apart = false

[partner.records-north]
kind = "records-office"
rate = "25 msgs/s"              # rate limit of the partner; omit if it has none
slots = 16                      # maximum concurrent calls; omit to apply only the limit of the site

[partner.records-north.endpoint.north-a]
address = "127.0.0.1:9001"

[partner.records-north.endpoint.north-b]
address = "127.0.0.1:9002"

[partner.pay]
[partner.pay.endpoint.pay-a]
address = "127.0.0.1:9003"
"#;
