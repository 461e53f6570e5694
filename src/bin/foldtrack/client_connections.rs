//! The listener's places: the gate's decisions carried out on connections. Whoever is let go of leaves as soon as no
//! request is open on its connection; until then it counts as lingering, and few of these are borne at once.

use crate::clock::Clock;
use crate::descriptors::{DescriptorBudget, DescriptorPermit};
use crate::lock::lock_ignoring_poison;
use foldtrack_admission::{Admit, Ask, DescriptorUser, Event, Gate, Seen, Settings};
use ipnet::IpNet;
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::Notify;

/// Connections that have been let go of and are not closed yet, above which none is accepted.
const LINGERING: usize = 8;
/// Answers close their connections when more than this part of the places is taken by those that have asked.
const CROWDED: usize = 3;

/// A connection as its task sees it.
#[derive(Debug)]
struct Seated {
    /// Tells it to leave unless a request is open.
    leave: Arc<Notify>,
    busy: bool,
    /// It has been told to.
    going: bool,
}

/// What the listener's connections share, behind one lock: the gate's view and the tasks' are never apart.
#[derive(Debug)]
struct Hall {
    gate: Gate,
    seated: HashMap<u64, Seated>,
}

impl Hall {
    /// Tells connections to leave.
    fn tell(&mut self, gone: &[u64]) {
        for number in gone {
            if let Some(one) = self.seated.get_mut(number) {
                one.going = true;
                one.leave.notify_one();
            }
        }
    }
}

/// The places.
#[derive(Debug)]
pub(crate) struct ClientConnections {
    hall: Mutex<Hall>,
    descriptors: Arc<DescriptorBudget>,
    clock: Clock,
    /// As the limits have it, and as the ledger leaves it at the moment.
    most: AtomicUsize,
    now: AtomicUsize,
    /// Somebody has left, or has no request open any more.
    pub freed: Notify,
}

impl ClientConnections {
    pub fn new(
        settings: Settings, clock: Clock, descriptors: Arc<DescriptorBudget>,
    ) -> Arc<ClientConnections> {
        let most = settings.max_connections;
        let hall = Mutex::new(Hall { gate: Gate::new(settings), seated: HashMap::new() });
        let (most, now) = (AtomicUsize::new(most), AtomicUsize::new(most));
        Arc::new(ClientConnections { hall, descriptors, clock, most, now, freed: Notify::new() })
    }

    fn hall(&self) -> MutexGuard<'_, Hall> {
        lock_ignoring_poison(&self.hall)
    }

    /// Waits until those who were let go of have left, but for a few.
    pub async fn settled(&self) {
        loop {
            let freed = self.freed.notified();
            let lingering = {
                let hall = self.hall();
                hall.seated.len().saturating_sub(hall.gate.open().1)
            };
            if lingering < LINGERING {
                return;
            }
            freed.await;
        }
    }

    /// Asks the gate for a place, and tells whoever has to go for it. `waited` if it was told to wait before.
    pub fn admit(self: &Arc<Self>, number: u64, address: IpAddr, waited: bool) -> Result<Seat, Admit> {
        self.fit();
        let (now, mut hall) = (self.clock.now(), self.hall());
        let admit = match waited {
            false => hall.gate.connects(now, number, address),
            true => hall.gate.waits(now, number, address),
        };
        let Admit::In { let_go } = admit else { return Err(admit) };
        let leave = Arc::new(Notify::new());
        hall.seated.insert(number, Seated { leave: leave.clone(), busy: false, going: false });
        hall.tell(let_go.as_slice());
        // The gate has decided by what the ledger leaves; it is open already.
        let descriptor = self.descriptors.acquire_unchecked(DescriptorUser::Clients);
        Ok(Seat { places: self.clone(), number, leave, _descriptor: descriptor })
    }

    /// Keeps to what the ledger leaves to clients just now.
    fn fit(&self) {
        let room = self.descriptors.room(DescriptorUser::Clients);
        if self.now.swap(room, Ordering::Relaxed) != room {
            let mut hall = self.hall();
            let gone = hall.gate.set_places(self.clock.now(), room);
            hall.tell(&gone);
        }
    }

    /// What is seen of the busiest addresses.
    pub fn seen(&self, most: usize) -> Vec<Seen> {
        self.hall().gate.seen(self.clock.now(), most)
    }

    /// What has happened that is worth a line.
    pub fn events(&self) -> Vec<Event> {
        self.hall().gate.events(self.clock.now())
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
        let mut hall = self.hall();
        let gone = hall.gate.block(self.clock.now(), network, until)?;
        hall.tell(&gone);
        Ok(())
    }

    /// Ends a block. False if there was none.
    pub fn unblock(&self, network: &IpNet) -> bool {
        self.hall().gate.unblock(network)
    }

    /// Blocks, each with its end by the process's clock.
    pub fn blocks(&self) -> BTreeMap<IpNet, u64> {
        self.hall().gate.blocks().clone()
    }

    /// Descriptors by the limit of the moment, and how many places there are by it. Whether these are others than before.
    pub fn set_places(&self, limit: usize, places: usize) -> bool {
        self.descriptors.set(limit, places);
        self.fit();
        self.freed.notify_one();
        self.most.swap(places, Ordering::Relaxed) != places
    }

    /// Who holds how many descriptors.
    pub fn descriptors(&self) -> &DescriptorBudget {
        &self.descriptors
    }

    /// Connections that were let go of and are not closed yet.
    pub fn lingering(&self) -> usize {
        let hall = self.hall();
        hall.seated.len().saturating_sub(hall.gate.open().1)
    }
}

/// A connection's own place, free again when this is dropped.
pub(crate) struct Seat {
    places: Arc<ClientConnections>,
    number: u64,
    /// Tells the connection to leave; see [`Seat::may_leave`].
    pub leave: Arc<Notify>,
    _descriptor: DescriptorPermit,
}

impl Seat {
    /// A request has come.
    pub fn asks(&self) -> Ask {
        let mut hall = self.places.hall();
        if let Some(seated) = hall.seated.get_mut(&self.number) {
            seated.busy = true;
        }
        hall.gate.asks(self.places.clock.now(), self.number)
    }

    /// It has its answer. Whether the connection is to be closed with it: it was let go of meanwhile, or those who ask
    /// once and keep their connection crowd the places; what stands in front of them holds only so many, and would turn
    /// further requests away though this process has time.
    pub fn answered(&self, taken: bool) -> bool {
        let (spoken, going) = {
            let mut hall = self.places.hall();
            hall.gate.answered(self.places.clock.now(), self.number, taken);
            let going = hall.seated.get_mut(&self.number).is_some_and(|seated| {
                seated.busy = false;
                seated.going
            });
            (hall.gate.open().0, going)
        };
        self.places.freed.notify_one();
        going || spoken > self.places.most.load(Ordering::Relaxed) / CROWDED
    }

    /// Whether its client is known.
    pub fn is_known(&self) -> bool {
        self.places.hall().gate.is_known(self.number)
    }

    /// The client was too slow, or what it sent was no request.
    pub fn misbehaved(&self) {
        self.places.hall().gate.misbehaved(self.places.clock.now(), self.number);
    }

    /// Whether it can leave now: not while a request is open.
    pub fn may_leave(&self) -> bool {
        self.places.hall().seated.get(&self.number).is_none_or(|seated| !seated.busy)
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let mut hall = self.places.hall();
        hall.seated.remove(&self.number);
        hall.gate.leaves(self.places.clock.now(), self.number);
        drop(hall);
        self.places.freed.notify_one();
    }
}
