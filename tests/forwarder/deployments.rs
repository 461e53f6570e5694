//! Runs the forwarder with the settings of each deployment in `deploy/sites/`, and with random
//! names, to verify that classes, tenants, zones and limits come from the settings alone.

use super::world::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use toml::Table;

const FORWARDERS: u32 = 300;

/// Paths of the deployments' site files.
fn site_files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/sites");
    let mut found: Vec<PathBuf> = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .map(|folder| folder.join(folder.file_name().unwrap()).with_extension("toml"))
        .collect();
    found.sort();
    assert!(found.len() >= 2 && found.iter().all(|path| path.is_file()), "{found:?}");
    found
}

fn read_site(path: &Path) -> Table {
    fs::read_to_string(path).unwrap().parse().unwrap()
}

/// A number of a site file, or the lower end of a range.
fn number_of(value: Option<&toml::Value>) -> f64 {
    match value {
        Some(toml::Value::Array(range)) => number_of(range.first()),
        Some(toml::Value::Integer(n)) => *n as f64,
        Some(toml::Value::Float(x)) => *x,
        _ => 0.0,
    }
}

fn micros(value: Option<&toml::Value>, unit: f64) -> u64 {
    (number_of(value) * unit) as u64
}

fn text<'a>(table: &'a Table, name: &str) -> &'a str {
    table.get(name).and_then(toml::Value::as_str).unwrap_or_default()
}

fn flag(table: &Table, name: &str) -> bool {
    table.get(name).and_then(toml::Value::as_bool).unwrap_or_default()
}

fn tables<'a>(table: &'a Table, name: &str) -> Vec<&'a Table> {
    let all = table.get(name).and_then(toml::Value::as_array);
    all.into_iter().flatten().filter_map(toml::Value::as_table).collect()
}

fn names(tables: &[&Table]) -> Vec<String> {
    tables.iter().map(|t| text(t, "name").to_string()).collect()
}

/// Converts a site file to the platform's settings format.
fn settings(site: &Table) -> Value {
    const MS: f64 = 1e3;
    const S: f64 = 1e6;
    let part = |name: &str| site[name].as_table().unwrap();
    let (rules, allow, kinds_of) = (part("rules"), part("allow"), part("fam"));
    let tier = tables(site, "tier")[0];
    let (conn, report) = (tier["conn"].as_table().unwrap(), tier["report"].as_table().unwrap());
    let kinds = tables(tier, "kind");
    let families = tables(kinds_of, "kind");
    let classes = tables(site, "class").into_iter().map(|class| {
        let effect = match text(class, "effect") {
            "safe" => "repeatable",
            "keyed" => "by_key",
            _ => "once",
        };
        json!({
            "name": text(class, "name"), "aim": micros(class.get("aim_ms"), MS), "effect": effect,
            "deadline": micros(class.get("deadline_ms"), MS), "group": text(class, "group"),
            "late_value": number_of(class.get("late_worth")), "one_at_a_time": flag(class, "in_order"),
            "window": micros(class.get("window_ms"), MS), "worth": number_of(class.get("worth")),
        })
    });
    let cold = kinds.iter().map(|k| micros(k.get("cold_s"), S)).max();
    let least_cold = kinds.iter().map(|k| number_of(k.get("cold_from"))).fold(1.0, f64::min);
    let asked = text(part("discovery"), "mode") == "ask";
    json!({
        "balancers": FORWARDERS,
        "categories": classes.collect::<Vec<Value>>(),
        "contract": {
            "ask_within": 10_000_000, "cold_from": least_cold, "ramp_time": cold,
            "order_pause": micros(rules.get("order_settle_ms"), MS),
            "stop_sending_within": micros(rules.get("drain_grace_ms"), MS),
            "tip_after": micros(rules.get("fall_ms"), MS), "tip_multiple": number_of(rules.get("fall_multiple")),
        },
        "dcs": part("net")["zones"].as_array().unwrap().iter().map(|z| z.as_str().unwrap()).collect::<Vec<&str>>(),
        "machine_types": names(&kinds),
        "realms": names(&tables(site, "tenant")),
        "discovery": if asked { "on_request" } else { "pushed" },
        "family_info": {
            "batch_by_kind": vec![1; kinds.len()],
            "own_limits": families.iter().map(|h| text(h, "routes") == "apart").collect::<Vec<bool>>(),
            "slots": 4, "decay": if text(kinds_of, "late") == "halves" { "halving" } else { "linear" },
            "refused_price": number_of(kinds_of.get("refused_price")), "zone_fee": [],
        },
        "limits": {
            "conn_idle": micros(conn.get("idle_s"), S), "dial_timeout": micros(conn.get("connect_timeout_ms"), MS),
            "max_open": 60, "may_cancel": flag(allow, "cancel"), "may_probe": flag(allow, "probes"),
            "may_duplicate": flag(allow, "second_copies"), "retry_after": flag(allow, "retry_after"),
            "max_retry_after": 2_000_000, "streams_per_conn": number_of(conn.get("streams")) as u32,
            "try_limit": number_of(allow.get("max_attempts")) as u32,
        },
        "report": {"fields": report["fields"].as_array().unwrap().iter().map(|f| f.as_str().unwrap()).collect::<Vec<&str>>()},
        "tick": 5_000,
        "weight_source": text(tier, "weights"),
    })
}

/// Delivers a message of each class to a destination of each kind, before and after a restart.
fn deliver_every_class(settings: &Value) {
    // Ten calls a second for each forwarder: each of a thousand forwarders sends at its share of
    // the limit, which must not delay the test.
    let limit = 10 * settings["balancers"].as_u64().unwrap();
    let target = Server::start(move |_| Reply::Headers(200, format!("X-Load: x0=0.9,x1={limit}\r\n")));
    let list = |field: &str| settings[field].as_array().unwrap().clone();
    let (zones, kinds) = (list("dcs"), list("machine_types"));
    let servers: Vec<Value> = (0..kinds.len() as u32)
        .map(|number| {
            let mut line = list_entry(&format!("s-{number}"), target.address, number, "active");
            line["kind"] = kinds[number as usize].clone();
            line["zone"] = zones[number as usize % zones.len()].clone();
            line["weight"] = limit.into();
            line
        })
        .collect();
    let platform = Platform::start(servers);
    let mut forwarder = Forwarder::start_with(&platform, |config| config["settings"] = settings.clone());
    let mut submitted = BTreeSet::new();
    for life in 0..2 {
        for (number, class) in list("categories").iter().enumerate() {
            let (id, name) = (format!("m-{life}-{number}"), class["name"].as_str().unwrap());
            let left_ms = class["deadline"].as_u64().unwrap() / 1_000;
            let destination = (number % kinds.len()) as u32;
            let message = update(&id, "key").for_destination(destination).deadline_ms(left_ms);
            let message = Submission { path: format!("/{name}/key"), ..message };
            assert_eq!(forwarder.submit(&message), 202, "{name}");
            submitted.insert(id);
        }
        let delivered = || target.ids().into_iter().collect::<BTreeSet<String>>();
        eventually("every class is delivered", || delivered() == submitted);
        assert!(platform.notices().is_empty(), "{:?}", platform.notices());
        forwarder.kill();
        forwarder.restart();
    }
    let unknown = Submission { path: "/no-class-of-this-site/key".into(), ..update("unknown", "key") };
    assert_eq!(forwarder.submit(&unknown), 404);
}

#[test]
fn every_deployment_delivers_a_message_of_every_class() {
    for path in site_files() {
        deliver_every_class(&settings(&read_site(&path)));
    }
}

/// Random names of other lengths and characters, and other numbers.
#[test]
fn random_names_and_numbers_work_as_well() {
    let mut random = fastrand::Rng::with_seed(20);
    for path in site_files() {
        let mut settings = settings(&read_site(&path));
        let mut name = |most: usize| -> Value {
            let length = random.usize(1..=most);
            (0..length)
                .map(|_| char::from(*random.choice(b"abcxyz0189-_.~").unwrap()))
                .collect::<String>()
                .into()
        };
        for field in ["dcs", "machine_types", "realms"] {
            settings[field].as_array_mut().unwrap().iter_mut().for_each(|old| *old = name(40));
        }
        for class in settings["categories"].as_array_mut().unwrap() {
            class["name"] = format!("c{}", name(60).as_str().unwrap()).into();
            class["deadline"] = (class["deadline"].as_u64().unwrap() + 12_345).into();
        }
        settings["balancers"] = 1_024.into();
        deliver_every_class(&settings);
    }
}

/// The code contains no name of a deployment's class, tenant, kind or zone.
#[test]
fn the_code_contains_no_deployment_specific_name() {
    let mut texts = Vec::new();
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut folders = vec![root.join("src"), root.join("crates")];
    while let Some(folder) = folders.pop() {
        for path in fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()) {
            match path.extension().and_then(|e| e.to_str()) {
                _ if path.is_dir() => folders.push(path),
                Some("rs" | "toml") => texts.push((path.clone(), fs::read_to_string(&path).unwrap())),
                _ => {}
            }
        }
    }
    assert!(texts.len() > 100, "{} files", texts.len());
    for path in site_files() {
        let site = read_site(&path);
        let tier = tables(&site, "tier")[0];
        let zones = site["net"]["zones"].as_array().unwrap().iter().map(|z| z.as_str().unwrap().to_string());
        let named = [tables(&site, "class"), tables(&site, "tenant"), tables(tier, "kind")];
        for name in named.iter().flat_map(|tables| names(tables)).chain(zones) {
            // Compared in quotes, because "lien" is part of "client".
            let quoted = format!("\"{name}\"");
            let holder = texts.iter().find(|(_, text)| text.contains(&quoted));
            assert!(holder.is_none(), "{name} of {} stands in {:?}", path.display(), holder.map(|h| &h.0));
        }
    }
}
