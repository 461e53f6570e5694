//! Reads the settings of a deployment from JSON and translates them. Unknown keys are ignored.

use crate::{Class, Decay, DedupScope, Effect, ListedRate, Micros, Rules, Settings};
use serde::Deserialize;

#[derive(Deserialize)]
struct Env {
    /// 0 if missing, which counts as one. It is not required, so that a deployment without it still starts.
    #[serde(default)]
    balancers: u32,
    categories: Vec<Category>,
    #[serde(default)]
    contract: Contract,
    #[serde(default)]
    dcs: Vec<String>,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    family_info: FamilyInfo,
    limits: Limits,
    #[serde(default)]
    machine_types: Vec<String>,
    #[serde(default)]
    report: Report,
    #[serde(default)]
    tick: Micros,
    #[serde(default)]
    weight_source: String,
}

#[derive(Deserialize)]
struct Category {
    aim: Micros,
    deadline: Micros,
    #[serde(default)]
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    late_value: f64,
    #[serde(default)]
    name: String,
    #[serde(default)]
    one_at_a_time: bool,
    #[serde(default)]
    streaming: bool,
    #[serde(default)]
    window: Micros,
    #[serde(default)]
    worth: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Contract {
    ask_within: Micros,
    cold_from: f64,
    order_pause: Micros,
    ramp_time: Micros,
    stop_sending_within: Micros,
    tip_after: Micros,
    tip_multiple: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct FamilyInfo {
    batch_by_kind: Vec<u32>,
    decay: String,
    own_limits: Vec<bool>,
    refused_price: f64,
    slots: u32,
    zone_fee: Vec<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Limits {
    conn_idle: Micros,
    dial_timeout: Micros,
    max_open: u32,
    max_retry_after: Micros,
    may_cancel: bool,
    may_duplicate: bool,
    may_probe: bool,
    retry_after: bool,
    streams_per_conn: u32,
    try_limit: u32,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Report {
    fields: Vec<String>,
}

/// The settings of an instance, the names that they contain, and the positions of the two values of a limit
/// report.
#[derive(Debug, Deserialize)]
#[serde(from = "Env")]
pub struct DeploymentSettings {
    /// Settings of the scheduler.
    pub settings: Settings,
    /// Names of the message classes by index.
    pub class_names: Vec<String>,
    /// Names of the kinds of destination by index.
    pub kind_names: Vec<String>,
    /// Names of the zones by index.
    pub zone_names: Vec<String>,
    /// Position of the remaining share of the allowance in a report.
    pub share_left_at: Option<usize>,
    /// Position of the limit in a report.
    pub rate_at: Option<usize>,
}

impl From<Env> for DeploymentSettings {
    fn from(env: Env) -> Self {
        let position = |name: &str| env.report.fields.iter().position(|f| f == name);
        let (share_left_at, rate_at) = (position("x0"), position("x1"));
        let class_names = env.categories.iter().map(|c| c.name.clone()).collect();
        let classes = env.categories.iter().map(|c| Class {
            aim: c.aim,
            deadline: c.deadline,
            worth: c.worth,
            late_value: c.late_value,
            effect: match c.effect.as_str() {
                "repeatable" => Effect::Repeatable,
                "by_key" => Effect::Keyed,
                _ => Effect::Once,
            },
            dedup_scope: if c.group == "all" { DedupScope::All } else { DedupScope::Zone },
            dedup_window: c.window,
            max_wait: 0,
            in_order: c.one_at_a_time,
            streaming: c.streaming,
        });
        let settings = Settings {
            senders: env.balancers,
            slots: env.family_info.slots,
            max_held: env.limits.max_open,
            max_attempts: env.limits.try_limit,
            may_cancel: env.limits.may_cancel,
            may_probe: env.limits.may_probe,
            may_duplicate: env.limits.may_duplicate,
            may_advise_wait: env.limits.retry_after,
            max_advised_wait: env.limits.max_retry_after,
            subscribe: env.discovery == "on_request",
            classes: classes.collect(),
            decay: if env.family_info.decay == "halving" { Decay::Halving } else { Decay::Linear },
            rules: Rules {
                drain_grace: env.contract.stop_sending_within,
                cold_capacity_share: env.contract.cold_from,
                slow_start_time: env.contract.ramp_time,
                overload_factor: env.contract.tip_multiple,
                overload_duration: env.contract.tip_after,
                uncertain_key_pause: env.contract.order_pause,
                list_poll_interval: env.contract.ask_within,
            },
            max_batch: env.family_info.batch_by_kind,
            independent_routes: env.family_info.own_limits,
            zone_cost: env.family_info.zone_fee,
            rejection_cost: env.family_info.refused_price,
            listed_rate: match env.weight_source.as_str() {
                "nominal" => ListedRate::Exact,
                "rough" => ListedRate::Rough,
                _ => ListedRate::Unknown,
            },
            idle_timeout: env.limits.conn_idle,
            connect_timeout: env.limits.dial_timeout,
            streams_per_connection: env.limits.streams_per_conn,
            tick: env.tick,
        };
        DeploymentSettings {
            settings,
            class_names,
            kind_names: env.machine_types,
            zone_names: env.dcs,
            share_left_at,
            rate_at,
        }
    }
}
