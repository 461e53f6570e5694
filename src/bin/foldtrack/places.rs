//! The listener's places: the gate's decisions carried out on connections. Whoever is let go of leaves as soon as no
//! request is open on its connection; until then it counts as lingering, and few of these are borne at once.

use crate::clock::Clock;
use foldtrack_admission::{Admit, Ask, Event, Gate, Seen, Settings};
use ipnet::IpNet;
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Connections that have been let go of and are not closed yet, above which none is accepted.
const LINGERING: usize = 8;
/// Answers close their connections when more than this part of the places is taken by those that have asked.
const CROWDED: usize = 3;

/// Descriptors for all but clients and targets: the runtime's, the journal's, those to the platform, and those
/// that are closing.
pub(crate) const OTHER_SOCKETS: usize = 32;

/// Descriptors that the system allows this process now; the limit may be changed while it runs.
pub(crate) fn descriptors_allowed() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX))
}

/// Of so many descriptors half are for clients, and half for calls and for what stands idle between them.
pub(crate) fn half(sockets: usize) -> usize {
    sockets.saturating_sub(OTHER_SOCKETS) / 2
}

/// A connection as its task sees it.
#[derive(Debug)]
struct Seated {
    /// Tells it to leave unless a request is open.
    leave: Arc<Notify>,
    busy: bool,
    /// It has been told to.
    going: bool,
}

/// The places.
#[derive(Debug)]
pub(crate) struct Places {
    gate: Mutex<Gate>,
    seated: Mutex<HashMap<u64, Seated>>,
    clock: Clock,
    most: AtomicUsize,
    /// Somebody has left, or has no request open any more.
    pub freed: Notify,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Places {
    pub fn new(settings: Settings, clock: Clock) -> Arc<Places> {
        let most = AtomicUsize::new(settings.places);
        let (gate, seated) = (Mutex::new(Gate::new(settings)), Mutex::default());
        Arc::new(Places { gate, seated, clock, most, freed: Notify::new() })
    }

    fn gate(&self) -> MutexGuard<'_, Gate> {
        locked(&self.gate)
    }

    /// Waits until those who were let go of have left, but for a few.
    pub async fn settled(&self) {
        loop {
            let freed = self.freed.notified();
            let in_gate = self.gate().open().1;
            let lingering = locked(&self.seated).len().saturating_sub(in_gate);
            if lingering < LINGERING {
                return;
            }
            freed.await;
        }
    }

    /// Asks the gate for a place, and tells whoever has to go for it.
    pub fn admit(self: &Arc<Self>, number: u64, address: IpAddr) -> Result<Seat, Admit> {
        let admit = self.gate().connects(self.clock.now(), number, address);
        let Admit::In { let_go } = admit else { return Err(admit) };
        let leave = Arc::new(Notify::new());
        locked(&self.seated).insert(number, Seated { leave: leave.clone(), busy: false, going: false });
        self.tell(let_go.into_iter().collect());
        Ok(Seat { places: self.clone(), number, leave })
    }

    /// What is seen of the busiest addresses.
    pub fn seen(&self, most: usize) -> Vec<Seen> {
        self.gate().seen(self.clock.now(), most)
    }

    /// What has happened that is worth a line.
    pub fn events(&self) -> Vec<Event> {
        self.gate().events(self.clock.now())
    }

    /// The clock that its times are by.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Blocks a network until a time of the process's clock, and lets go of its connections.
    ///
    /// # Errors
    /// There are too many blocks.
    pub fn block(&self, network: IpNet, until: u64) -> Result<(), String> {
        let gone = self.gate().block(self.clock.now(), network, until)?;
        self.tell(gone);
        Ok(())
    }

    /// Tells connections to leave.
    fn tell(&self, gone: Vec<u64>) {
        let mut seated = locked(&self.seated);
        for number in gone {
            if let Some(one) = seated.get_mut(&number) {
                one.going = true;
                one.leave.notify_one();
            }
        }
    }

    /// Ends a block. False if there was none.
    pub fn unblock(&self, network: &IpNet) -> bool {
        self.gate().unblock(network)
    }

    /// Blocks, each with its end by the process's clock.
    pub fn blocks(&self) -> BTreeMap<IpNet, u64> {
        self.gate().blocks().clone()
    }

    /// Changes the number of places. Whether it is another one than before.
    pub fn set_places(&self, places: usize) -> bool {
        let gone = self.gate().set_places(self.clock.now(), places);
        self.tell(gone);
        self.freed.notify_one();
        self.most.swap(places, Ordering::Relaxed) != places
    }
}

/// A connection's own place, free again when this is dropped.
pub(crate) struct Seat {
    places: Arc<Places>,
    number: u64,
    /// Tells the connection to leave; see [`Seat::may_leave`].
    pub leave: Arc<Notify>,
}

impl Seat {
    /// A request has come.
    pub fn asks(&self) -> Ask {
        if let Some(seated) = locked(&self.places.seated).get_mut(&self.number) {
            seated.busy = true;
        }
        self.places.gate().asks(self.places.clock.now(), self.number)
    }

    /// It has its answer. Whether the connection is to be closed with it: it was let go of meanwhile, or those who ask
    /// once and keep their connection crowd the places; what stands in front of them holds only so many, and would turn
    /// further requests away though this process has time.
    pub fn answered(&self, taken: bool) -> bool {
        let spoken = {
            let mut gate = self.places.gate();
            gate.answered(self.places.clock.now(), self.number, taken);
            gate.open().0
        };
        let going = locked(&self.places.seated).get_mut(&self.number).is_some_and(|seated| {
            seated.busy = false;
            seated.going
        });
        self.places.freed.notify_one();
        going || spoken > self.places.most.load(Ordering::Relaxed) / CROWDED
    }

    /// Whether its client is known.
    pub fn is_known(&self) -> bool {
        self.places.gate().is_known(self.number)
    }

    /// The client was too slow, or what it sent was no request.
    pub fn misbehaved(&self) {
        self.places.gate().misbehaved(self.places.clock.now(), self.number);
    }

    /// Whether it can leave now: not while a request is open.
    pub fn may_leave(&self) -> bool {
        locked(&self.places.seated).get(&self.number).is_none_or(|seated| !seated.busy)
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        locked(&self.places.seated).remove(&self.number);
        self.places.gate().leaves(self.places.clock.now(), self.number);
        self.places.freed.notify_one();
    }
}
