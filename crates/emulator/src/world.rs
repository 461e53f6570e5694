//! The TOML description of a world: forwarders, classes, partners, traffic and troubles. Durations are written as `"3s"`,
//! `"250ms"` or `"40us"`. Unknown keys and values out of range are errors that name the key or the entry.

use crate::policy::{Class, Effect, SlowStart};
use crate::{Micros, SECOND};
use serde::{de, Deserialize, Deserializer};

/// Maximum number of forwarders in a world.
pub const MAX_FORWARDERS: u32 = 2_000;
/// Maximum number of messages in a simulation. A file that asks for more is refused, so that it cannot exhaust the memory.
pub const MAX_MESSAGES: f64 = 5e6;

/// Deserializes a duration.
fn span<'de, D: Deserializer<'de>>(from: D) -> Result<Micros, D::Error> {
    let text = String::deserialize(from)?;
    let error =
        |_| de::Error::custom(format!("{text:?} is not a duration such as \"3s\", \"250ms\" or \"40us\""));
    humantime::parse_duration(&text).map_err(error).map(|span| span.as_micros() as Micros)
}

/// Deserializes a range of durations.
fn spans<'de, D: Deserializer<'de>>(from: D) -> Result<(Micros, Micros), D::Error> {
    #[derive(Deserialize)]
    struct Span(#[serde(deserialize_with = "span")] Micros);
    let (min, max) = <(Span, Span)>::deserialize(from)?;
    if min.0 > max.0 {
        return Err(de::Error::custom("the first duration is longer than the second"));
    }
    Ok((min.0, max.0))
}

fn spans_if<'de, D: Deserializer<'de>>(from: D) -> Result<Option<(Micros, Micros)>, D::Error> {
    spans(from).map(Some)
}

/// The description of a world.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct World {
    /// A description for people.
    pub about: String,
    /// The fleet of forwarders.
    pub fleet: Fleet,
    /// The classes of messages.
    #[serde(rename = "class")]
    pub classes: Vec<ClassConfig>,
    /// The partners.
    #[serde(rename = "partner")]
    pub partners: Vec<PartnerConfig>,
    /// The messages that clients submit.
    pub traffic: Traffic,
    /// Temporary faults and changes.
    #[serde(rename = "trouble", default)]
    pub troubles: Vec<Trouble>,
}

/// The fleet of forwarders.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fleet {
    /// Number of forwarders.
    pub forwarders: u32,
    /// Maximum number of calls in flight for each forwarder.
    pub slots: u32,
    /// Maximum number of messages that each forwarder holds; further ones are refused.
    pub held: u32,
    /// Maximum number of attempts for a message.
    pub attempts: u32,
    /// Clients submit messages for this long; the simulation continues until all have an outcome.
    #[serde(deserialize_with = "span")]
    pub lasts: Micros,
    /// One-way network delay between a forwarder and a partner; uniformly distributed between the two values.
    #[serde(deserialize_with = "spans")]
    pub way: (Micros, Micros),
    /// Maximum delay before a forwarder receives the endpoint list.
    #[serde(deserialize_with = "span", default)]
    pub list_late: Micros,
}

/// A class of messages; see [`Class`] for the values.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassConfig {
    name: String,
    #[serde(deserialize_with = "span")]
    aim: Micros,
    #[serde(deserialize_with = "span")]
    deadline: Micros,
    worth: f64,
    late: f64,
    share: f64,
    /// One of `repeatable`, `keyed` and `once`.
    effect: String,
    /// Deduplication window, for `keyed`.
    #[serde(deserialize_with = "span", default)]
    window: Micros,
    #[serde(default, rename = "in-order")]
    in_order: bool,
}

/// The description of a partner.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct PartnerConfig {
    /// The partner's name.
    pub name: String,
    /// Relative share of all messages.
    pub share: f64,
    /// Number of endpoints.
    #[serde(default = "one")]
    pub endpoints: u32,
    /// Calls per second that it accepts from all forwarders together; 0 if only its capacity limits it.
    #[serde(default)]
    pub limit: f64,
    /// Whether the endpoint list publishes the limit.
    #[serde(default = "yes")]
    pub listed: bool,
    /// Length of the fixed window in which calls are counted; 0 if the limit is a token bucket.
    #[serde(deserialize_with = "span", default)]
    pub window: Micros,
    /// For a token bucket: its capacity, as the time in which it fills.
    #[serde(deserialize_with = "span", default = "half")]
    pub saves: Micros,
    /// Whether refused calls count against the limit, too.
    #[serde(default)]
    pub refused_use_up: bool,
    /// Share of the rejections that request a wait.
    #[serde(default)]
    pub tells: f64,
    /// The requested wait, for a token bucket; with a fixed window it is the time until the window's end.
    #[serde(deserialize_with = "spans", default = "wait")]
    pub wait: (Micros, Micros),
    /// Interval between measurements of what is left of the limit. Answers report the last measurement; 0 if they report
    /// nothing.
    #[serde(deserialize_with = "span", default)]
    pub report: Micros,
    /// Processing time of a call, log-uniform between the two values. Exactly one of this, [`PartnerConfig::exponential`] and
    /// [`PartnerConfig::fixed`] is set.
    #[serde(deserialize_with = "spans_if", default)]
    pub takes: Option<(Micros, Micros)>,
    /// Mean of an exponential processing time.
    #[serde(deserialize_with = "span", default)]
    pub exponential: Micros,
    /// Constant processing time.
    #[serde(deserialize_with = "span", default)]
    pub fixed: Micros,
    /// Number of calls that an endpoint processes at once.
    #[serde(default = "many")]
    pub servers: u32,
    /// Number of calls that wait at an endpoint; further ones are rejected.
    #[serde(default = "many")]
    pub queue: u32,
    /// Share of the calls that are rejected at random, whatever their rate: a failing partner, not one at its limit.
    #[serde(default)]
    pub refuses: f64,
    /// Share of the calls that end with an error at random.
    #[serde(default)]
    pub fails: f64,
    /// Share of the calls whose connection breaks at random after they took effect.
    #[serde(default)]
    pub resets: f64,
}

fn one() -> u32 {
    1
}
fn yes() -> bool {
    true
}
fn half() -> Micros {
    SECOND / 2
}
fn wait() -> (Micros, Micros) {
    (400_000, SECOND)
}
fn many() -> u32 {
    1_000
}

/// The messages that clients submit.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Traffic {
    /// Messages per second.
    pub rate: f64,
    /// Unevenness of the traffic over the forwarders: the standard deviation of the logarithm of their shares. 0 is even; with 0.6
    /// some of three hundred forwarders get five times the mean.
    #[serde(default)]
    pub uneven: f64,
    /// Share of the messages that arrive in clumps for one partner.
    #[serde(default)]
    pub clumps: f64,
    /// Size of a clump, as the time in which its partner accepts that many calls.
    #[serde(deserialize_with = "span", default = "two")]
    pub clump: Micros,
    /// Time within which the messages of a clump arrive.
    #[serde(deserialize_with = "span", default = "half")]
    pub clump_within: Micros,
    /// Number of order keys for each class that is in order.
    #[serde(default = "keys")]
    pub keys: u64,
    /// Maximum number of times that a client submits a refused message again, at any forwarder.
    #[serde(default)]
    pub again: u32,
    /// Pause before that, unless the refusal advised a longer one.
    #[serde(deserialize_with = "spans", default = "wait")]
    pub again_after: (Micros, Micros),
}

fn two() -> Micros {
    2 * SECOND
}
fn keys() -> u64 {
    10_000
}

/// A temporary fault or change.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// When it begins.
    #[serde(deserialize_with = "span")]
    pub at: Micros,
    /// Its duration.
    #[serde(rename = "for", deserialize_with = "span")]
    pub lasts: Micros,
    /// Its kind.
    pub what: TroubleKind,
    /// The partner concerned; all partners if none is named.
    #[serde(default)]
    pub partner: Option<String>,
    /// For `limit`, `slow` and `burst`: the factor.
    #[serde(default = "unchanged")]
    pub times: f64,
}

fn unchanged() -> f64 {
    1.0
}

/// The kinds of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// The partner does not answer; afterwards it has a slow start.
    Out,
    /// The partner's limit is multiplied by the factor.
    Limit,
    /// The partner's processing times are multiplied by the factor.
    Slow,
    /// The rate of messages outside clumps is multiplied by the factor.
    Burst,
    /// The partner's answers report nothing of the limit.
    Silent,
}

impl World {
    /// Parses and checks the text of a world file.
    ///
    /// # Errors
    /// The first error: with line and column if the text cannot be parsed, else with the name of the entry.
    pub fn read(text: &str) -> Result<World, String> {
        let world: World = toml::from_str(text).map_err(|e| e.to_string())?;
        world.check()?;
        Ok(world)
    }

    /// Checks that all values are within their ranges.
    ///
    /// # Errors
    /// The first value that is not, by its name.
    pub fn check(&self) -> Result<(), String> {
        let within = |name: &str, value: f64, min: f64, max: f64| {
            if (min..=max).contains(&value) {
                return Ok(());
            }
            Err(format!("{name}: {value} is not between {min} and {max}"))
        };
        within("fleet.forwarders", self.fleet.forwarders.into(), 1.0, MAX_FORWARDERS.into())?;
        within("fleet.slots", self.fleet.slots.into(), 1.0, 1e6)?;
        within("fleet.held", self.fleet.held.into(), 1.0, 1e6)?;
        within("fleet.attempts", self.fleet.attempts.into(), 1.0, 255.0)?;
        within("traffic.rate", self.traffic.rate, 1e-3, 1e6)?;
        within("traffic.clumps", self.traffic.clumps, 0.0, 0.9)?;
        within("traffic.uneven", self.traffic.uneven, 0.0, 3.0)?;
        let burst = self
            .troubles
            .iter()
            .filter(|t| t.what == TroubleKind::Burst)
            .map(|t| t.times)
            .fold(1.0, f64::max);
        let messages = self.traffic.rate * burst * self.fleet.lasts as f64 / 1e6;
        within("number of messages", messages, 1.0, MAX_MESSAGES)?;
        if self.classes.is_empty() || self.partners.is_empty() {
            return Err("at least one [[class]] and one [[partner]] are required".into());
        }
        for class in &self.classes {
            let of = |key: &str| format!("class {}: {key}", class.name);
            within(&of("share"), class.share, 1e-9, 1e9)?;
            within(&of("late"), class.late, 0.0, 1.0)?;
            if class.aim == 0 || class.deadline < class.aim {
                return Err(of("deadline: is earlier than the aim, or the aim is 0"));
            }
            if !["repeatable", "keyed", "once"].contains(&class.effect.as_str()) {
                return Err(of(&format!("effect: {:?} is not one of repeatable, keyed, once", class.effect)));
            }
            if class.effect == "keyed" && class.window == 0 {
                return Err(of("window: is required for effect = \"keyed\""));
            }
        }
        for partner in &self.partners {
            let of = |key: &str| format!("partner {}: {key}", partner.name);
            within(&of("share"), partner.share, 1e-9, 1e9)?;
            within(&of("limit"), partner.limit, 0.0, 1e6)?;
            within(&of("endpoints"), partner.endpoints.into(), 1.0, 1_000.0)?;
            within(&of("servers"), partner.servers.into(), 1.0, 1e6)?;
            for (key, share) in [
                ("tells", partner.tells),
                ("refuses", partner.refuses),
                ("fails", partner.fails),
                ("resets", partner.resets),
            ] {
                within(&of(key), share, 0.0, 1.0)?;
            }
            let distributions = usize::from(partner.takes.is_some())
                + usize::from(partner.exponential > 0)
                + usize::from(partner.fixed > 0);
            if distributions != 1 {
                return Err(of("exactly one of takes, exponential and fixed must be given"));
            }
        }
        for trouble in &self.troubles {
            within("trouble: times", trouble.times, 0.0, 1e3)?;
            if let Some(name) = &trouble.partner {
                if !self.partners.iter().any(|p| p.name == *name) {
                    return Err(format!("trouble: there is no partner {name:?}"));
                }
            }
        }
        Ok(())
    }

    /// The classes in the form that policies receive.
    pub fn classes(&self) -> Vec<Class> {
        let class = |c: &ClassConfig| Class {
            name: c.name.clone(),
            aim: c.aim,
            deadline: c.deadline,
            worth: c.worth,
            late: c.late,
            effect: match c.effect.as_str() {
                "keyed" => Effect::Keyed(c.window),
                "once" => Effect::Once,
                _ => Effect::Repeatable,
            },
            in_order: c.in_order,
            share: c.share,
        };
        self.classes.iter().map(class).collect()
    }

    /// How partners recover from an outage, with the values of the user documentation.
    pub fn slow_start(&self) -> SlowStart {
        SlowStart {
            initial_share: 0.16,
            duration: 14 * SECOND,
            overload_factor: 2.5,
            overload_duration: 2 * SECOND,
        }
    }

    /// The factor of the first trouble of a kind that is active for a partner; none if there is none.
    pub fn trouble(&self, now: Micros, what: TroubleKind, partner: &str) -> Option<f64> {
        let active = |t: &&Trouble| {
            t.what == what
                && (t.at..t.at + t.lasts).contains(&now)
                && t.partner.as_ref().is_none_or(|p| p == partner)
        };
        self.troubles.iter().find(active).map(|t| t.times)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID: &str = include_str!("../worlds/calm.toml");

    #[test]
    fn errors_name_the_offending_key() {
        let worlds =
            [include_str!("../worlds/few-answers.toml"), include_str!("../worlds/over-the-limit.toml")];
        worlds.into_iter().chain([VALID]).for_each(|text| drop(World::read(text).unwrap()));
        for (from, to, expected) in [
            ("forwarders = 300", "forwarders = 0", "fleet.forwarders"),
            ("forwarders = 300", "forwarders = 300\nfoo = 1", "foo"),
            ("aim = \"3s\"", "aim = \"3\"", "not a duration"),
            ("aim = \"3s\"", "aim = \"30s\"", "deadline"),
            ("effect = \"keyed\"", "effect = \"twice\"", "twice"),
            ("rate = ", "rate = 100000000000.0 #", "traffic.rate"),
            ("tells = ", "tells = 7.0 #", "tells"),
        ] {
            let text = VALID.replacen(from, to, 1);
            assert_ne!(text, VALID, "{from}");
            let error = World::read(&text).unwrap_err();
            assert!(error.contains(expected), "{to}: {error}");
        }
        let trouble = format!(
            "{VALID}\n[[trouble]]\nat = \"1s\"\nfor = \"1s\"\nwhat = \"out\"\npartner = \"nobody\"\n"
        );
        assert!(World::read(&trouble).unwrap_err().contains("nobody"));
    }
}
