//! Who is there: failure detection with suspicion, incarnations and indirect probes, by `foca` (SWIM without I/O).

use foca::{
    Config, Foca, Identity, NoCustomBroadcast, OwnedNotification, PeriodicParams, PostcardCodec, Runtime,
    State, Timer,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// How often it is noted how everybody stands, beside when one has come or gone.
const LOOK: u64 = 200;

/// Spans of the failure detector, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// One member is probed each time.
    pub probe_every: u64,
    /// How long an answer may take before others are asked to probe.
    pub answer_within: u64,
    /// How long one that did not answer may still object.
    pub suspect_for: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { probe_every: 1_000, answer_within: 500, suspect_for: 4_000 }
    }
}

/// A member as the failure detector knows it. Of two under one name the later start is the member, and of one life the
/// later turn: it takes a new turn when it finds that it was held to be gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Id {
    /// Its name.
    pub name: String,
    /// Its start number.
    pub start: u64,
    /// Grows each time that it comes back within one life.
    pub turn: u32,
}

impl Identity for Id {
    type Addr = String;

    fn renew(&self) -> Option<Self> {
        Some(Id { turn: self.turn + 1, ..self.clone() })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        (self.start, self.turn) > (adversary.start, adversary.turn)
    }
}

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Not heard of since this process started.
    Unknown,
    /// There.
    Up,
    /// It did not answer, and may still object.
    Suspect,
    /// Gone, or cut off.
    Down,
}

impl Standing {
    /// In a word.
    pub fn name(self) -> &'static str {
        match self {
            Standing::Unknown => "unknown",
            Standing::Up => "up",
            Standing::Suspect => "suspect",
            Standing::Down => "down",
        }
    }
}

/// What the failure detector wants done.
#[derive(Debug, Default)]
pub struct Wanted {
    /// To whom, and what.
    pub send: Vec<(String, Vec<u8>)>,
    /// Names of members that have come up, or gone down.
    pub up: Vec<String>,
    /// See `up`.
    pub down: Vec<String>,
    /// This forwarder was held to be gone, and has come back.
    pub rejoined: bool,
}

struct Hands<'a> {
    now: u64,
    next: &'a mut u64,
    timers: &'a mut BTreeMap<(u64, u64), Timer<Id>>,
    wanted: Wanted,
}

impl Runtime<Id> for Hands<'_> {
    fn notify(&mut self, notification: foca::Notification<'_, Id>) {
        match notification.to_owned() {
            OwnedNotification::MemberUp(id) => self.wanted.up.push(id.name),
            OwnedNotification::MemberDown(id) => self.wanted.down.push(id.name),
            OwnedNotification::Rejoin(_) => self.wanted.rejoined = true,
            _ => {}
        }
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        self.wanted.send.push((to.name, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Id>, after: Duration) {
        *self.next += 1;
        self.timers.insert((self.now + after.as_millis() as u64, *self.next), event);
    }
}

/// The members, by time in milliseconds.
pub struct Members {
    foca: Foca<Id, PostcardCodec, SmallRng, NoCustomBroadcast>,
    timers: BTreeMap<(u64, u64), Timer<Id>>,
    next: u64,
    /// Each that has been heard of, with its standing and since when, as of the last look.
    looked: u64,
    standings: BTreeMap<String, (Standing, u64)>,
}

impl std::fmt::Debug for Members {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Members").field("standings", &self.standings).finish_non_exhaustive()
    }
}

fn config(pace: Pace) -> Config {
    let few = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let ms = Duration::from_millis;
    Config {
        probe_period: ms(pace.probe_every),
        probe_rtt: ms(pace.answer_within),
        num_indirect_probes: few(3),
        max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: ms(pace.suspect_for),
        // A member of the list stays one. Its name comes back with a later start or turn.
        remove_down_after: None,
        max_packet_size: few(crate::seal::PAYLOAD - 16),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams { frequency: ms(10 * pace.probe_every), num_members: few(1) }),
        // Two halves that held each other to be gone find back by this.
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: ms(2 * pace.probe_every),
            num_members: few(3),
        }),
        periodic_gossip: Some(PeriodicParams { frequency: ms(pace.probe_every / 2), num_members: few(3) }),
    }
}

impl Members {
    /// A forwarder that has just come up.
    pub fn new(id: Id, pace: Pace, seed: u64) -> Members {
        let foca = Foca::new(id, config(pace), SmallRng::seed_from_u64(seed), PostcardCodec);
        let (timers, standings) = (BTreeMap::new(), BTreeMap::new());
        Members { foca, timers, next: 0, looked: 0, standings }
    }

    fn work(
        &mut self, now: u64,
        job: impl FnOnce(&mut Foca<Id, PostcardCodec, SmallRng, NoCustomBroadcast>, &mut Hands<'_>),
    ) -> Wanted {
        let mut hands =
            Hands { now, next: &mut self.next, timers: &mut self.timers, wanted: Wanted::default() };
        job(&mut self.foca, &mut hands);
        let wanted = hands.wanted;
        if now >= self.looked + LOOK || !wanted.up.is_empty() || !wanted.down.is_empty() {
            self.look(now);
        }
        wanted
    }

    /// Notes how everybody stands, and since when.
    fn look(&mut self, now: u64) {
        self.looked = now;
        let was = std::mem::take(&mut self.standings);
        let states = self.foca.iter_membership_state().map(|m| {
            let standing = match m.state() {
                State::Alive => Standing::Up,
                State::Suspect => Standing::Suspect,
                State::Down => Standing::Down,
            };
            (m.id().name.clone(), standing)
        });
        for (name, standing) in states {
            let since = was.get(&name).filter(|(s, _)| *s == standing).map_or(now, |(_, since)| *since);
            // A name may stand there by an old life, too: the one that is there counts.
            let entry = self.standings.entry(name).or_insert((standing, since));
            if entry.0 == Standing::Down {
                *entry = (standing, since);
            }
        }
    }

    /// Says hello to one whose life is known.
    pub fn announce(&mut self, now: u64, to: Id) -> Wanted {
        // It answers once it has taken the announcement in; an error is that of a full buffer, and told again later.
        self.work(now, |foca, hands| drop(foca.announce(to, hands)))
    }

    /// Takes a message of another's failure detector in. False where it can't be read.
    pub fn heard(&mut self, now: u64, data: &[u8]) -> (bool, Wanted) {
        let mut read = true;
        let wanted = self.work(now, |foca, hands| {
            use foca::Error::{DataTooBig, Decode, MalformedPacket};
            read = !matches!(foca.handle_data(data, hands), Err(DataTooBig | Decode(_) | MalformedPacket));
        });
        (read, wanted)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: u64) -> Wanted {
        let mut all = Wanted::default();
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            // A process that slept through its probes is told by an error that it has nothing to conclude from them.
            let wanted = self.work(now, |foca, hands| drop(foca.handle_timer(timer, hands)));
            all.send.extend(wanted.send);
            all.up.extend(wanted.up);
            all.down.extend(wanted.down);
            all.rejoined |= wanted.rejoined;
        }
        all
    }

    /// When something is due next.
    pub fn due(&self) -> Option<u64> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// Tells all that this forwarder goes.
    pub fn leave(&mut self, now: u64) -> Wanted {
        self.work(now, |foca, hands| drop(foca.leave_cluster(hands)))
    }

    /// Takes another start number: an earlier life of this name was found to have had this one.
    pub fn restart(&mut self, now: u64, id: Id) -> Wanted {
        self.work(now, |foca, hands| drop(foca.change_identity(id, hands)))
    }

    /// How a member stands, and since when.
    pub fn standing(&self, name: &str) -> (Standing, u64) {
        self.standings.get(name).copied().unwrap_or((Standing::Unknown, 0))
    }
}
