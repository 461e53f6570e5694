//! Membership and failure detection with suspicion, incarnations and indirect probes, by `foca` (SWIM
//! without I/O).

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

/// Interval at which the state of all members is sampled, in milliseconds. It is also sampled whenever a
/// member comes up or goes down.
const SAMPLE_INTERVAL_MS: u64 = 200;

/// Intervals of the failure detector, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeTimings {
    /// One member is probed at this interval.
    pub probe_interval_ms: u64,
    /// How long an answer may take before other members are asked to probe.
    pub probe_timeout_ms: u64,
    /// How long a suspected member may still refute the suspicion.
    pub suspect_timeout_ms: u64,
}

impl Default for ProbeTimings {
    fn default() -> Self {
        ProbeTimings { probe_interval_ms: 1_000, probe_timeout_ms: 500, suspect_timeout_ms: 4_000 }
    }
}

/// The identity of a member in the failure detector. Of two identities with one name, the one with the
/// later start is the member, and within one run the one with the later incarnation. A member takes a new
/// incarnation when it finds that it was declared down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberId {
    /// The member's name.
    pub name: String,
    /// Its start number.
    pub start: u64,
    /// Increases each time that the member rejoins within one run.
    #[serde(rename = "turn")]
    pub incarnation: u32,
}

impl Identity for MemberId {
    type Addr = String;

    fn renew(&self) -> Option<Self> {
        Some(MemberId { incarnation: self.incarnation + 1, ..self.clone() })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        (self.start, self.incarnation) > (adversary.start, adversary.incarnation)
    }
}

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Not heard from since this process started.
    Unknown,
    /// Reachable.
    Up,
    /// It did not answer and may still refute the suspicion.
    Suspect,
    /// Gone or partitioned away.
    Down,
}

impl Standing {
    /// Name in the control protocol.
    pub fn name(self) -> &'static str {
        match self {
            Standing::Unknown => "unknown",
            Standing::Up => "up",
            Standing::Suspect => "suspect",
            Standing::Down => "down",
        }
    }
}

/// What the failure detector asks its caller to do.
#[derive(Debug, Default)]
pub struct DetectorActions {
    /// Datagrams to send: name of the receiver and data.
    pub send: Vec<(String, Vec<u8>)>,
    /// Names of members that have come up.
    pub up: Vec<String>,
    /// Names of members that have gone down.
    pub down: Vec<String>,
    /// This forwarder had been declared down and has rejoined.
    pub rejoined: bool,
}

/// Receives the output of the failure detector during one call.
struct DetectorRuntime<'a> {
    now: u64,
    timer_count: &'a mut u64,
    timers: &'a mut BTreeMap<(u64, u64), Timer<MemberId>>,
    actions: DetectorActions,
}

impl Runtime<MemberId> for DetectorRuntime<'_> {
    fn notify(&mut self, notification: foca::Notification<'_, MemberId>) {
        match notification.to_owned() {
            OwnedNotification::MemberUp(id) => self.actions.up.push(id.name),
            OwnedNotification::MemberDown(id) => self.actions.down.push(id.name),
            OwnedNotification::Rejoin(_) => self.actions.rejoined = true,
            _ => {}
        }
    }

    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        self.actions.send.push((to.name, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<MemberId>, after: Duration) {
        *self.timer_count += 1;
        self.timers.insert((self.now + after.as_millis() as u64, *self.timer_count), event);
    }
}

/// The members and the timers of the failure detector, by time in milliseconds.
pub struct Members {
    foca: Foca<MemberId, PostcardCodec, SmallRng, NoCustomBroadcast>,
    timers: BTreeMap<(u64, u64), Timer<MemberId>>,
    timer_count: u64,
    /// When `standings` was last sampled.
    last_sample: u64,
    /// State and time of the last change of each member that was heard from.
    standings: BTreeMap<String, (Standing, u64)>,
}

impl std::fmt::Debug for Members {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Members").field("standings", &self.standings).finish_non_exhaustive()
    }
}

fn config(timings: ProbeTimings) -> Config {
    let non_zero = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let ms = Duration::from_millis;
    Config {
        probe_period: ms(timings.probe_interval_ms),
        probe_rtt: ms(timings.probe_timeout_ms),
        num_indirect_probes: non_zero(3),
        max_transmissions: NonZeroU8::new(10).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: ms(timings.suspect_timeout_ms),
        // Members of the list are never removed. A name comes back with a later start or incarnation.
        remove_down_after: None,
        max_packet_size: non_zero(crate::seal::MAX_PAYLOAD - 16),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams {
            frequency: ms(10 * timings.probe_interval_ms),
            num_members: non_zero(1),
        }),
        // Two partitions that have declared each other down find each other again by this.
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: ms(2 * timings.probe_interval_ms),
            num_members: non_zero(3),
        }),
        periodic_gossip: Some(PeriodicParams {
            frequency: ms(timings.probe_interval_ms / 2),
            num_members: non_zero(3),
        }),
    }
}

impl Members {
    /// Starts the failure detector of a forwarder.
    pub fn new(id: MemberId, timings: ProbeTimings, seed: u64) -> Members {
        let foca = Foca::new(id, config(timings), SmallRng::seed_from_u64(seed), PostcardCodec);
        let (timers, standings) = (BTreeMap::new(), BTreeMap::new());
        Members { foca, timers, timer_count: 0, last_sample: 0, standings }
    }

    fn run_detector(
        &mut self, now: u64,
        call: impl FnOnce(
            &mut Foca<MemberId, PostcardCodec, SmallRng, NoCustomBroadcast>,
            &mut DetectorRuntime<'_>,
        ),
    ) -> DetectorActions {
        let mut runtime = DetectorRuntime {
            now,
            timer_count: &mut self.timer_count,
            timers: &mut self.timers,
            actions: DetectorActions::default(),
        };
        call(&mut self.foca, &mut runtime);
        let actions = runtime.actions;
        if now >= self.last_sample + SAMPLE_INTERVAL_MS || !actions.up.is_empty() || !actions.down.is_empty()
        {
            self.sample(now);
        }
        actions
    }

    /// Samples the state of all members and since when they have it.
    fn sample(&mut self, now: u64) {
        self.last_sample = now;
        let previous = std::mem::take(&mut self.standings);
        let states = self.foca.iter_membership_state().map(|m| {
            let standing = match m.state() {
                State::Alive => Standing::Up,
                State::Suspect => Standing::Suspect,
                State::Down => Standing::Down,
            };
            (m.id().name.clone(), standing)
        });
        for (name, standing) in states {
            let since = previous.get(&name).filter(|(s, _)| *s == standing).map_or(now, |(_, since)| *since);
            // A name may also be listed with an earlier run; the entry that is not down counts.
            let entry = self.standings.entry(name).or_insert((standing, since));
            if entry.0 == Standing::Down {
                *entry = (standing, since);
            }
        }
    }

    /// Announces this forwarder to a member whose run is known.
    pub fn announce(&mut self, now: u64, to: MemberId) -> DetectorActions {
        // The member answers once it has processed the announcement. The only error is a full buffer, and
        // the announcement is repeated later.
        self.run_detector(now, |foca, runtime| drop(foca.announce(to, runtime)))
    }

    /// Handles a message from another member's failure detector. Returns false if it can't be decoded.
    pub fn handle_message(&mut self, now: u64, data: &[u8]) -> (bool, DetectorActions) {
        let mut decoded = true;
        let actions = self.run_detector(now, |foca, runtime| {
            use foca::Error::{DataTooBig, Decode, MalformedPacket};
            decoded =
                !matches!(foca.handle_data(data, runtime), Err(DataTooBig | Decode(_) | MalformedPacket));
        });
        (decoded, actions)
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: u64) -> DetectorActions {
        let mut all = DetectorActions::default();
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            // A process that was suspended over its probes gets an error saying that they prove nothing.
            let actions = self.run_detector(now, |foca, runtime| drop(foca.handle_timer(timer, runtime)));
            all.send.extend(actions.send);
            all.up.extend(actions.up);
            all.down.extend(actions.down);
            all.rejoined |= actions.rejoined;
        }
        all
    }

    /// When the next timer is due.
    pub fn due(&self) -> Option<u64> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// Tells all members that this forwarder is leaving.
    pub fn leave(&mut self, now: u64) -> DetectorActions {
        self.run_detector(now, |foca, runtime| drop(foca.leave_cluster(runtime)))
    }

    /// Changes the start number, after an earlier run of this name was found to have used it.
    pub fn change_start(&mut self, now: u64, id: MemberId) -> DetectorActions {
        self.run_detector(now, |foca, runtime| drop(foca.change_identity(id, runtime)))
    }

    /// The state of a member and since when it has it.
    pub fn standing(&self, name: &str) -> (Standing, u64) {
        self.standings.get(name).copied().unwrap_or((Standing::Unknown, 0))
    }
}
