//! A world as it is written down: forwarders, classes, partners, traffic and troubles, in TOML. Spans are written as `"3s"`,
//! `"250ms"` or `"40us"`; unknown keys and figures out of their range are errors that name their place.

use crate::policy::{Class, Effect, SlowStart};
use crate::{Micros, SECOND};
use serde::{de, Deserialize, Deserializer};

/// Most forwarders in one world.
pub const MAX_FORWARDERS: u32 = 2_000;
/// Most messages a play may have: above it the file is refused, not the machine.
pub const MAX_MESSAGES: f64 = 5e6;

fn span<'de, D: Deserializer<'de>>(from: D) -> Result<Micros, D::Error> {
    let text = String::deserialize(from)?;
    let told = |_| de::Error::custom(format!("{text:?} is no span; one is \"3s\", \"250ms\" or \"40us\""));
    humantime::parse_duration(&text).map_err(told).map(|span| span.as_micros() as Micros)
}

fn spans<'de, D: Deserializer<'de>>(from: D) -> Result<(Micros, Micros), D::Error> {
    #[derive(Deserialize)]
    struct Span(#[serde(deserialize_with = "span")] Micros);
    let (least, most) = <(Span, Span)>::deserialize(from)?;
    if least.0 > most.0 {
        return Err(de::Error::custom("the first span is longer than the second"));
    }
    Ok((least.0, most.0))
}

fn spans_if<'de, D: Deserializer<'de>>(from: D) -> Result<Option<(Micros, Micros)>, D::Error> {
    spans(from).map(Some)
}

/// A whole world.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct World {
    /// A sentence for people.
    pub about: String,
    /// The forwarders.
    pub fleet: Fleet,
    /// Classes of messages.
    #[serde(rename = "class")]
    pub classes: Vec<ClassConfig>,
    /// Partners.
    #[serde(rename = "partner")]
    pub partners: Vec<PartnerConfig>,
    /// What clients hand in.
    pub traffic: Traffic,
    /// What goes wrong.
    #[serde(rename = "trouble", default)]
    pub troubles: Vec<Trouble>,
}

/// The forwarders.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fleet {
    /// How many.
    pub forwarders: u32,
    /// Calls that each may have out.
    pub slots: u32,
    /// Messages that each may hold; further ones are turned away before it.
    pub held: u32,
    /// Attempts for a message.
    pub attempts: u32,
    /// Messages come for so long; the play goes on until all have ended.
    #[serde(deserialize_with = "span")]
    pub lasts: Micros,
    /// Time of a datagram from a forwarder to a partner, and of one back; even between the two.
    #[serde(deserialize_with = "spans")]
    pub way: (Micros, Micros),
    /// The list is heard so late at the most.
    #[serde(deserialize_with = "span", default)]
    pub list_late: Micros,
}

/// A class as it is written.
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
    /// `repeatable`, `keyed` or `once`.
    effect: String,
    /// For `keyed`.
    #[serde(deserialize_with = "span", default)]
    window: Micros,
    #[serde(default, rename = "in-order")]
    in_order: bool,
}

/// A partner.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct PartnerConfig {
    /// Its name.
    pub name: String,
    /// Its part of all messages.
    pub share: f64,
    /// How many endpoints.
    #[serde(default = "one")]
    pub endpoints: u32,
    /// Calls a second that it takes from all together; 0 if only its capacity limits it.
    #[serde(default)]
    pub limit: f64,
    /// Whether the list tells the limit.
    #[serde(default = "yes")]
    pub listed: bool,
    /// The limit is a count in each span of this length; 0 if it is a plain rate.
    #[serde(deserialize_with = "span", default)]
    pub window: Micros,
    /// A plain rate saves up for so long.
    #[serde(deserialize_with = "span", default = "half")]
    pub saves: Micros,
    /// Refused calls use the limit up, too.
    #[serde(default)]
    pub refused_use_up: bool,
    /// Part of the refusals that tell how long to wait.
    #[serde(default)]
    pub tells: f64,
    /// How long, for a plain rate; a count in spans tells until the span's end.
    #[serde(deserialize_with = "spans", default = "wait")]
    pub wait: (Micros, Micros),
    /// Answers tell what is left of the limit, as of the last time that it was looked at: so often. 0 for never.
    #[serde(deserialize_with = "span", default)]
    pub report: Micros,
    /// Time that a call takes there, even in its logarithm between the two; [`PartnerLine::exponential`] and
    /// [`PartnerLine::fixed`] in its place.
    #[serde(deserialize_with = "spans_if", default)]
    pub takes: Option<(Micros, Micros)>,
    /// Or exponential with this mean.
    #[serde(deserialize_with = "span", default)]
    pub exponential: Micros,
    /// Or always this.
    #[serde(deserialize_with = "span", default)]
    pub fixed: Micros,
    /// Calls that an endpoint works on at once.
    #[serde(default = "many")]
    pub servers: u32,
    /// Calls that wait at an endpoint; beyond, they are refused as full.
    #[serde(default = "many")]
    pub queue: u32,
    /// Part of the calls that are refused at random, at any rate: a failing partner, not a full one.
    #[serde(default)]
    pub refuses: f64,
    /// Part of the calls that end with an error at random.
    #[serde(default)]
    pub fails: f64,
    /// Part of the calls whose connection breaks at random after they took effect.
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

/// What clients hand in.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Traffic {
    /// Messages a second.
    pub rate: f64,
    /// How unlike forwarders' parts are: the standard deviation of their logarithm. 0 is even; 0.6 gives some of three hundred five
    /// times the mean.
    #[serde(default)]
    pub uneven: f64,
    /// Part of the messages that come in clumps for one partner.
    #[serde(default)]
    pub clumps: f64,
    /// A clump is as much as its partner takes in this time.
    #[serde(deserialize_with = "span", default = "two")]
    pub clump: Micros,
    /// And comes within this time.
    #[serde(deserialize_with = "span", default = "half")]
    pub clump_within: Micros,
    /// Keys for each class that is in order.
    #[serde(default = "keys")]
    pub keys: u64,
    /// After a refusal a client comes again so often at most, anywhere.
    #[serde(default)]
    pub again: u32,
    /// And after so long, if it was not told longer.
    #[serde(deserialize_with = "spans", default = "wait")]
    pub again_after: (Micros, Micros),
}

fn two() -> Micros {
    2 * SECOND
}
fn keys() -> u64 {
    10_000
}

/// What goes wrong for a while.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// When it begins.
    #[serde(deserialize_with = "span")]
    pub at: Micros,
    /// How long it lasts.
    #[serde(rename = "for", deserialize_with = "span")]
    pub lasts: Micros,
    /// Which.
    pub what: TroubleKind,
    /// At this partner; at all if it is not named.
    #[serde(default)]
    pub partner: Option<String>,
    /// For `limit`, `slow`, `burst`: so many times as before.
    #[serde(default = "nothing")]
    pub times: f64,
}

fn nothing() -> f64 {
    1.0
}

/// Kinds of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// It answers nothing, and comes back cold.
    Out,
    /// Its limit is another one.
    Limit,
    /// Its calls take so many times as long.
    Slow,
    /// So many times the messages.
    Burst,
    /// Its answers tell nothing of the limit.
    Silent,
}

impl World {
    /// Reads a file's text.
    ///
    /// # Errors
    /// What is wrong, with line and column where the text can't be read, else with the entry's name.
    pub fn read(text: &str) -> Result<World, String> {
        let world: World = toml::from_str(text).map_err(|e| e.to_string())?;
        world.check()?;
        Ok(world)
    }

    /// Whether all figures are within their ranges.
    ///
    /// # Errors
    /// The first that is not, by its name.
    pub fn check(&self) -> Result<(), String> {
        let within = |name: &str, value: f64, least: f64, most: f64| {
            if (least..=most).contains(&value) {
                return Ok(());
            }
            Err(format!("{name}: {value} is not within {least} to {most}"))
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
        within("messages in all", messages, 1.0, MAX_MESSAGES)?;
        if self.classes.is_empty() || self.partners.is_empty() {
            return Err("there is no [[class]], or no [[partner]]".into());
        }
        for class in &self.classes {
            let of = |key: &str| format!("class {}: {key}", class.name);
            within(&of("share"), class.share, 1e-9, 1e9)?;
            within(&of("late"), class.late, 0.0, 1.0)?;
            if class.aim == 0 || class.deadline < class.aim {
                return Err(of("deadline: is earlier than its aim"));
            }
            if !["repeatable", "keyed", "once"].contains(&class.effect.as_str()) {
                return Err(of(&format!("effect: {:?} is none of repeatable, keyed, once", class.effect)));
            }
            if class.effect == "keyed" && class.window == 0 {
                return Err(of("window: is missing"));
            }
        }
        for partner in &self.partners {
            let of = |key: &str| format!("partner {}: {key}", partner.name);
            within(&of("share"), partner.share, 1e-9, 1e9)?;
            within(&of("limit"), partner.limit, 0.0, 1e6)?;
            within(&of("endpoints"), partner.endpoints.into(), 1.0, 1_000.0)?;
            within(&of("servers"), partner.servers.into(), 1.0, 1e6)?;
            for (key, part) in [
                ("tells", partner.tells),
                ("refuses", partner.refuses),
                ("fails", partner.fails),
                ("resets", partner.resets),
            ] {
                within(&of(key), part, 0.0, 1.0)?;
            }
            let times = usize::from(partner.takes.is_some())
                + usize::from(partner.exponential > 0)
                + usize::from(partner.fixed > 0);
            if times != 1 {
                return Err(of("one of takes, exponential and fixed says how long calls take"));
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

    /// The classes.
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

    /// How partners come back from an outage: as the users' pages have it.
    pub fn slow_start(&self) -> SlowStart {
        SlowStart {
            initial_share: 0.16,
            duration: 14 * SECOND,
            overload_factor: 2.5,
            overload_duration: 2 * SECOND,
        }
    }

    /// Whether a trouble of a kind holds for a partner, and how strong it is.
    pub fn trouble(&self, now: Micros, what: TroubleKind, partner: &str) -> Option<f64> {
        let here = |t: &&Trouble| {
            t.what == what
                && (t.at..t.at + t.lasts).contains(&now)
                && t.partner.as_ref().is_none_or(|p| p == partner)
        };
        self.troubles.iter().find(here).map(|t| t.times)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SOUND: &str = include_str!("../worlds/calm.toml");

    #[test]
    fn what_is_wrong_is_told_with_its_place() {
        let kept =
            [include_str!("../worlds/few-answers.toml"), include_str!("../worlds/over-the-limit.toml")];
        kept.into_iter().chain([SOUND]).for_each(|text| drop(World::read(text).unwrap()));
        for (from, to, told) in [
            ("forwarders = 300", "forwarders = 0", "fleet.forwarders"),
            ("forwarders = 300", "forwarders = 300\nfoo = 1", "foo"),
            ("aim = \"3s\"", "aim = \"3\"", "no span"),
            ("aim = \"3s\"", "aim = \"30s\"", "deadline"),
            ("effect = \"keyed\"", "effect = \"twice\"", "twice"),
            ("rate = ", "rate = 100000000000.0 #", "traffic.rate"),
            ("tells = ", "tells = 7.0 #", "tells"),
        ] {
            let text = SOUND.replacen(from, to, 1);
            assert_ne!(text, SOUND, "{from}");
            let error = World::read(&text).unwrap_err();
            assert!(error.contains(told), "{to}: {error}");
        }
        let trouble = format!(
            "{SOUND}\n[[trouble]]\nat = \"1s\"\nfor = \"1s\"\nwhat = \"out\"\npartner = \"nobody\"\n"
        );
        assert!(World::read(&trouble).unwrap_err().contains("nobody"));
    }
}
