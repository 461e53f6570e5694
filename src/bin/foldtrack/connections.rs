//! Connections to targets: one call at a time on each, and those that stand idle between calls.

use crate::clock::Clock;
use crate::descriptors::DescriptorPermit;
use crate::streams::{Tap, Tapped};
use bytes::Bytes;
use foldtrack_delivery::{Outcome, TargetId};
use foldtrack_pool::{Ahead, Counts, Idle};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{sleep, Instant};
use tokio_rustls::rustls::pki_types::ServerName;
use tokio_rustls::rustls::{self, ClientConfig};
use tokio_rustls::TlsConnector;

/// A head that has begun ends within this span, or it can't be read.
const HEAD_WAIT: Duration = Duration::from_millis(250);
/// Idle times that are told apart in what is learned of reused connections; by how much more of the calls than on
/// new ones may be reset, and the calls that must have been seen before a few resets mean something. What was
/// learned fades by half in about 20 s.
const AGES: [Duration; 5] = [
    Duration::from_millis(10),
    Duration::from_millis(30),
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(1000),
];
const TRUST_EXCESS: f64 = 0.03;
const TRUST_CALLS: f64 = 15.0;
const TRUST_KEEP: f64 = 0.965;
/// Bytes of an answer's head that are kept before it is given up.
const HEAD_BYTES: usize = 16 * 1024;

/// How connections to a partner are encrypted.
#[derive(Clone, Debug)]
pub(crate) struct Encryption {
    pub name: ServerName<'static>,
    /// As the files are now; connections that are open keep theirs.
    pub config: watch::Receiver<Arc<ClientConfig>>,
}

/// An HTTP connection. It closes when this is dropped, also in the middle of a call.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    opened: Instant,
    /// Since when it has stood idle, but for a call that is out: the partner counts from there, also where a call was to go on
    /// it and did not.
    rested: Instant,
    /// When it is too old to be used again.
    retires: Option<Instant>,
    /// When it ended, if it has.
    ended: Arc<OnceLock<Instant>>,
    _descriptor: Option<DescriptorPermit>,
    pub tap: Arc<Tap>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why there is no answer.
pub(crate) enum SendError {
    /// It was handed back before a byte of it was written.
    Unsent,
    ConnectionLost,
    /// The partner has broken the handshake off by an alert that came behind it, before anything else: nothing that was
    /// written has been read as a request.
    Refused(String),
    /// What has come of it can't be read.
    UnreadableResponse,
}

impl Connection {
    /// Opens one, encrypted if `tls` says how. `descriptor` is what was drawn for it; none for the house's own, which are
    /// counted by their number.
    pub async fn open(
        address: SocketAddr, tls: Option<&Encryption>, descriptor: Option<DescriptorPermit>,
    ) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let tap = Tap::new(stream, tls.is_some());
        let Some(tls) = tls else {
            return Connection::on(Tapped::new(tap.wire(), tap.clone()), tap, descriptor).await;
        };
        let config = tls.config.borrow().clone();
        let stream = TlsConnector::from(config).connect(tls.name.clone(), tap.wire()).await?;
        Connection::on(Tapped::new(stream, tap.clone()), tap, descriptor).await
    }

    async fn on<S: AsyncRead + AsyncWrite + Unpin + Send + 'static>(
        stream: Tapped<S>, tap: Arc<Tap>, descriptor: Option<DescriptorPermit>,
    ) -> io::Result<Connection> {
        let handshake = http1::Builder::new().max_buf_size(HEAD_BYTES).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        // Errors reach the call that is out; between calls they only end the connection.
        let ended = Arc::new(OnceLock::new());
        let noted = ended.clone();
        let driver = tokio::spawn(async move {
            drop(connection.await);
            let _ = noted.set(Instant::now());
        });
        let opened = Instant::now();
        let (rested, retires) = (opened, None);
        Ok(Connection { sender, driver, opened, rested, retires, ended, _descriptor: descriptor, tap })
    }

    /// Hands a request to the connection and waits for the head of the answer.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        self.tap.begin();
        let unread = async {
            self.tap.begun().await;
            sleep(HEAD_WAIT).await;
        };
        tokio::select! {
            biased;
            answer = self.sender.try_send_request(request) => {
                answer.map_err(|mut error| match error.take_message() {
                    Some(_) => SendError::Unsent,
                    None if self.tap.has_begun() => SendError::UnreadableResponse,
                    None => refusal(&error.into_error()).map_or(SendError::ConnectionLost, SendError::Refused),
                })
            }
            // Guards against a head without an end, which would hold the call until its time is up.
            () = unread => Err(SendError::UnreadableResponse),
        }
    }

    /// Reads an answer to its end and waits until the next request may go.
    pub async fn finish(&mut self, body: Incoming, limit: usize) -> Option<Bytes> {
        let body = Limited::new(body, limit).collect().await.ok()?.to_bytes();
        self.sender.ready().await.ok()?;
        self.rested = Instant::now();
        Some(body)
    }

    /// How long it had stood idle when it ended, in microseconds; until now if that is not known.
    fn stood(&self) -> u64 {
        let until = self.ended.get().copied().unwrap_or_else(Instant::now);
        until.saturating_duration_since(self.rested).as_micros() as u64
    }

    fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed() && self.tap.is_quiet()
    }
}

/// Whether a connection ended by an alert that belongs to the handshake alone. Under TLS 1.3 a client has done its part, and
/// sends its request, before the server has looked at its certificate (RFC 8446, section 4.4.2.4 and appendix E.1.1); a server
/// that refuses it never comes to read the request.
fn refusal(error: &hyper::Error) -> Option<String> {
    let io = std::error::Error::source(error)?.downcast_ref::<io::Error>()?;
    let tls = io.get_ref()?.downcast_ref::<rustls::Error>()?;
    foldtrack_tls::is_peer_rejection(tls).then(|| foldtrack_tls::describe_error(tls))
}

/// How calls ended by how long their connection had stood idle before. Guards against targets, or what stands
/// between, that drop idle connections without a sign long before the time that the settings tell: a call on one
/// may have run, which ends an unsafe message, where a new connection costs a handshake.
#[derive(Debug, Default)]
struct Trust {
    /// Calls and resets on new connections, then by [`AGES`]; fading.
    seen: [(f64, f64); AGES.len() + 2],
}

impl Trust {
    fn place(idle: Option<Duration>) -> usize {
        idle.map_or(0, |idle| 1 + AGES.iter().filter(|age| idle >= **age).count())
    }

    fn ended(&mut self, idle: Option<Duration>, reset: bool) {
        let (calls, resets) = &mut self.seen[Self::place(idle)];
        *calls += 1.0;
        *resets += f64::from(u8::from(reset));
    }

    /// Whether a connection that has been idle for so long is hardly worse than a new one.
    fn holds(&self, idle: Duration) -> bool {
        let share = |place: usize| {
            let (calls, resets) = self.seen[place];
            resets / (calls + TRUST_CALLS)
        };
        share(Self::place(Some(idle))) <= share(0) + TRUST_EXCESS
    }

    fn fade(&mut self) {
        self.seen
            .iter_mut()
            .for_each(|(calls, resets)| (*calls, *resets) = (*calls * TRUST_KEEP, *resets * TRUST_KEEP));
    }
}

/// What is known of one target's connections.
#[derive(Debug)]
struct Endpoint {
    /// Those that stand idle; the one used last at the end.
    idle: Vec<Connection>,
    learned: Idle,
    demand: Ahead,
    /// Calls out.
    out: usize,
    /// Dials ahead of demand, by number.
    dials: BTreeMap<u64, AbortHandle>,
    /// Calls on connections that stood idle or were opened ahead, and all.
    ready: u64,
    calls: u64,
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.dials.values().for_each(AbortHandle::abort);
    }
}

/// What there is to see of one target's connections.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionStats {
    pub idle: usize,
    pub dialling: usize,
    /// Share of the calls that waited for no handshake, 0 to 1.
    pub without_handshake: f64,
    pub handshake: Duration,
    /// How long one may stand idle and be used again, as learned.
    pub max_idle: Duration,
}

/// How connections are kept at a site of its own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolSettings {
    /// Opened ahead of demand.
    pub preconnect: bool,
    /// Of one target at most.
    pub max_per_target: usize,
    /// Retired after this.
    pub max_age: Duration,
}

/// The connections to targets: those that stand idle, and what is known of each target's.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    /// Under the platform: one for all targets.
    trust: Trust,
    by_target: BTreeMap<TargetId, Endpoint>,
    longest: Duration,
    most: usize,
    /// At a site: what is learned is learned for each target.
    pool_settings: Option<PoolSettings>,
    clock: Clock,
}

impl ConnectionPool {
    /// Targets close a connection that has been idle for `conn_idle`. A call that meets such a close may have
    /// run, which ends an unsafe message: connections are not used for the last second of it.
    pub fn new(conn_idle: Duration, most: usize, pool_settings: Option<PoolSettings>, clock: Clock) -> Self {
        let margin = Duration::from_secs(1).min(conn_idle / 4);
        let (trust, by_target) = (Trust::default(), BTreeMap::new());
        ConnectionPool { trust, by_target, longest: conn_idle - margin, most, pool_settings, clock }
    }

    fn endpoint(&mut self, target: TargetId) -> &mut Endpoint {
        let told = self.longest.as_micros() as u64;
        self.by_target.entry(target).or_insert_with(|| Endpoint {
            idle: Vec::new(),
            learned: Idle::new(told),
            demand: Ahead::default(),
            out: 0,
            dials: BTreeMap::new(),
            ready: 0,
            calls: 0,
        })
    }

    /// A connection for the next call, and how long it has been idle. The call counts as out from now on.
    pub fn take(&mut self, target: TargetId) -> Option<(Connection, Duration)> {
        self.drop_old();
        let now = self.clock.now();
        let learns = self.pool_settings.is_some();
        self.endpoint(target);
        let (trust, endpoint) = (&self.trust, self.by_target.get_mut(&target)?);
        endpoint.out += 1;
        endpoint.calls += 1;
        endpoint.demand.called(now);
        let taken = if learns {
            // Those that have stood for longer stay where they are, and are watched.
            let longest = Duration::from_micros(endpoint.learned.longest(now));
            loop {
                let Some(connection) = endpoint.idle.pop() else { break None };
                if !connection.is_usable() {
                    endpoint.learned.closed_after(connection.stood());
                    continue;
                }
                if connection.rested.elapsed() <= longest {
                    break Some(connection);
                }
                endpoint.idle.push(connection);
                break None;
            }
        } else {
            endpoint.idle.retain(|c| trust.holds(c.rested.elapsed()) && c.is_usable());
            endpoint.idle.pop()
        };
        endpoint.ready += u64::from(taken.is_some());
        taken.map(|connection| {
            let idle = connection.rested.elapsed();
            (connection, idle)
        })
    }

    /// A call has ended on a connection that had been idle for so long, or was new and took so long to be made.
    pub fn call_ended(
        &mut self, target: TargetId, idle: Option<Duration>, dialled: Option<Duration>, outcome: Outcome,
    ) {
        self.trust.ended(idle, outcome == Outcome::Reset);
        let now = self.clock.now();
        let Some(endpoint) = self.by_target.get_mut(&target) else { return };
        endpoint.out = endpoint.out.saturating_sub(1);
        let idle = idle.map(|idle| idle.as_micros() as u64);
        match (outcome, idle) {
            (Outcome::Reset, Some(idle)) => endpoint.learned.reset_after(now, idle),
            (Outcome::Ok | Outcome::Error | Outcome::Rejected, Some(idle)) => {
                endpoint.learned.answered_after(now, idle)
            }
            _ => {}
        }
        if let Some(took) = dialled {
            endpoint.demand.opened(took.as_micros() as u64);
        }
        endpoint.demand.ended(outcome == Outcome::Ok);
    }

    /// How many dials to begin for a target, ahead of demand.
    pub fn preconnects_due(&self, target: TargetId) -> usize {
        let (Some(pool_settings), Some(e)) =
            (self.pool_settings.filter(|k| k.preconnect), self.by_target.get(&target))
        else {
            return 0;
        };
        let longest = Duration::from_micros(e.learned.longest(self.clock.now()));
        // One reading of the clock for all: this is asked with each call.
        let now = Instant::now();
        let fits = |c: &&Connection| now.saturating_duration_since(c.rested) <= longest;
        let fit = e.idle.iter().filter(fits).filter(|c| !c.sender.is_closed()).count();
        let counts =
            Counts { out: e.out, idle: fit, dialling: e.dials.len(), most: pool_settings.max_per_target };
        e.demand.dials(self.clock.now(), counts)
    }

    /// A dial ahead has begun.
    pub fn preconnect_started(&mut self, target: TargetId, number: u64, dial: AbortHandle) {
        self.endpoint(target).dials.insert(number, dial);
    }

    /// A dial ahead has ended; its connection is kept if there is still a use for it.
    pub fn preconnect_finished(
        &mut self, target: TargetId, number: u64, opened: Option<(Connection, Duration)>,
    ) {
        let Some(endpoint) = self.by_target.get_mut(&target) else { return };
        if endpoint.dials.remove(&number).is_none() {
            return;
        }
        match opened {
            Some((connection, took)) => {
                endpoint.demand.opened(took.as_micros() as u64);
                self.put(target, connection);
            }
            None => endpoint.demand.ended(false),
        }
    }

    pub fn put(&mut self, target: TargetId, mut connection: Connection) {
        if let (Some(pool_settings), None) = (self.pool_settings, connection.retires) {
            // Not all at once that were opened at once.
            let part = 0.75 + 0.25 * fastrand::f64();
            connection.retires = Some(connection.opened + pool_settings.max_age.mul_f64(part));
        }
        let idle = &mut self.endpoint(target).idle;
        let place = idle.partition_point(|c| c.rested <= connection.rested);
        idle.insert(place, connection);
        if self.by_target.values().map(|e| e.idle.len()).sum::<usize>() > self.most {
            self.drop_oldest();
        }
    }

    /// Drops the one that has stood idle longest. False if there is none.
    pub fn drop_oldest(&mut self) -> bool {
        let idle = self.by_target.values_mut().map(|e| &mut e.idle).filter(|v| !v.is_empty());
        idle.min_by_key(|v| v[0].rested).map(|v| v.remove(0)).is_some()
    }

    /// Nothing new goes to a target: what stands idle is closed, and dials are called off.
    pub fn close(&mut self, target: TargetId) {
        self.by_target.remove(&target);
    }

    /// What there is to see of a target's connections.
    pub fn stats(&self, target: TargetId) -> ConnectionStats {
        let Some(e) = self.by_target.get(&target) else { return ConnectionStats::default() };
        ConnectionStats {
            idle: e.idle.len(),
            dialling: e.dials.len(),
            without_handshake: if e.calls > 0 { e.ready as f64 / e.calls as f64 } else { 0.0 },
            handshake: Duration::from_micros(e.demand.handshake()),
            max_idle: Duration::from_micros(e.learned.longest(self.clock.now())),
        }
    }

    /// To be called once a second. Gives the targets that have connections, to look whether some are lacking.
    pub fn sweep(&mut self) -> Vec<TargetId> {
        self.trust.fade();
        self.drop_old();
        self.by_target.keys().copied().collect()
    }

    /// Drops those that have shown their end, have been idle for too long or are too old. At a site what is seen of them is
    /// learned from.
    fn drop_old(&mut self) {
        let (now, longest, learns) = (Instant::now(), self.longest, self.pool_settings.is_some());
        for endpoint in self.by_target.values_mut() {
            let learned = &mut endpoint.learned;
            endpoint.idle.retain(|c| {
                let closed = c.sender.is_closed();
                match closed {
                    true => learned.closed_after(c.stood()),
                    false => learned.open_after(now.saturating_duration_since(c.rested).as_micros() as u64),
                }
                !closed && now < c.rested + longest && c.retires.is_none_or(|at| now < at)
            });
        }
        if !learns {
            self.by_target.retain(|_, endpoint| !endpoint.idle.is_empty() || endpoint.out > 0);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn idle_times_at_which_connections_are_dropped_are_learned_and_forgotten() {
        let mut trust = Trust::default();
        let (short, long) = (Duration::from_millis(20), Duration::from_millis(200));
        for n in 0..40 {
            // Resets that come whatever the connection is say nothing of its idle time.
            trust.ended(None, n % 10 == 0);
            trust.ended(Some(short), n % 10 == 0);
        }
        assert!(trust.holds(short) && trust.holds(long));
        for n in 0..8 {
            trust.ended(Some(long), n % 3 == 0);
        }
        assert!(!trust.holds(long) && trust.holds(short));
        (0..120).for_each(|_| trust.fade());
        assert!(trust.holds(long), "it is never tried again");
    }
}
