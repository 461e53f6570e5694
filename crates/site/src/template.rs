//! A commented site file to begin with.

/// A site file that passes the check.
pub const TEMPLATE: &str = r#"# The site file of foldtrack. `foldtrack check FILE` tells what is wrong in it, all at once.
# Spans are written "250ms", "3s" or "1h 30m", sizes "64KiB" or "256MiB", rates "250 msgs/s" or "30 msgs/min".

[site]
name = "my-site"
listen = "127.0.0.1:8080"       # where the services of the house hand messages in
state = "foldtrack-state"       # the folder that outlasts the process; one process at a time
durability = "machine"          # what is answered outlives a power cut; "process": only the process, and faster

[limits]
memory = "256MiB"
descriptors = 1024
disk = "256MiB"                 # all of the state folder
messages = 10000                # held at once; beyond that, clients are refused with a wait
calls = 256                     # out to partners at once
attempts = 8                    # for one message
longest-wait = "10s"            # that a refused client is told

[ends]                          # how messages ended, until a client has fetched and acknowledged it, and after
count = 100000
size = "32MiB"
age = "7days"

[admission]                     # who is let in when connections are short
known = []                      # networks of known clients: ["10.1.0.0/16"]; others become known by handing in
reserve = 0.5                   # share of the connections that is kept for known clients

[calls]
connection-idle = "15s"         # partners close idle connections after this
connect-timeout = "1s"

# A class is the first part of the path that clients post to: POST /record-change/KEY
# effect: "repeatable" (may be repeated at will), "keyed" (partners drop repeats for `remembered`),
# "once" (must never take effect twice).
[class.record-change]
effect = "keyed"
remembered = "10s"
ordered = true                  # messages of one key go one at a time, in their order
aim = "3s"                      # wanted within
deadline = "24s"                # given up after
refuse-after = "10s"            # refused at the door if it would wait for longer; left out: 0.6 of its time
worth = 1
late-worth = 0.5                # share of the worth that is left at the deadline

[class.payment]
effect = "once"
aim = "3s"
deadline = "24s"
worth = 3
late-worth = 0.4

# [kind.NAME] groups partners; routes-apart = true where each endpoint has limits and outages of its own.
[kind.records-office]
routes-apart = false

[partner.records-north]
kind = "records-office"
rate = "25 msgs/s"              # what it takes; leave out if it names no limit
slots = 16                      # calls out to it at once; leave out for the site's limit alone

[partner.records-north.endpoint.north-a]
address = "127.0.0.1:9001"

[partner.records-north.endpoint.north-b]
address = "127.0.0.1:9002"

[partner.pay]
[partner.pay.endpoint.pay-a]
address = "127.0.0.1:9003"
"#;
