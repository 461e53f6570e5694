//! The pool of connections to targets: each carries one call at a time, and idle ones are kept for
//! reuse.

use crate::clock::Clock;
use crate::delivery_log::{self, CloseReason};
use crate::descriptors::DescriptorPermit;
use crate::streams::{ResponseTap, TappedStream, Unread};
use bytes::Bytes;
use foldtrack_delivery::{Outcome, TargetId};
use foldtrack_pool::reuse::DEFAULT_REST_US;
use foldtrack_pool::{ConnectionCounts, IdleConnection, IdleTimeout, PreconnectPolicy, ReusePolicy};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
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

/// Time for the rest of a response head after its first byte; a slower one counts as unreadable.
const HEAD_TIMEOUT: Duration = Duration::from_millis(250);
/// Boundaries between the idle times for which resets of reused connections are counted apart; by
/// how much more of the calls than on new connections may be reset; the weight of the prior, in
/// calls, so that a few resets alone mean nothing; and the decay per second, which halves old
/// counts in about 20 s.
const IDLE_BUCKETS: [Duration; 5] = [
    Duration::from_millis(10),
    Duration::from_millis(30),
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(1000),
];
const MAX_EXCESS_RESETS: f64 = 0.03;
const PRIOR_CALLS: f64 = 15.0;
const DECAY_PER_SECOND: f64 = 0.965;
/// Maximum size of a response head in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// How connections to a partner are encrypted.
#[derive(Clone, Debug)]
pub(crate) struct Encryption {
    /// The name that the certificate must be valid for.
    pub name: ServerName<'static>,
    /// The configuration of the current files. Open connections keep the one they were opened with.
    pub config: watch::Receiver<Arc<ClientConfig>>,
}

/// Identifies a connection in the log, and how often it was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionId {
    /// Its number among the connections of this process.
    pub number: u64,
    /// Requests that were written to it so far.
    pub earlier_calls: u32,
}

/// An HTTP connection. Dropping it closes it, also during a call.
#[derive(Debug)]
pub(crate) struct Connection {
    id: ConnectionId,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    opened: Instant,
    /// Start of the current idle period. A call that was prepared on this connection but never
    /// written does not reset it, since the partner's idle timer is not reset either.
    idle_since: Instant,
    /// When the connection becomes too old to be reused.
    retire_at: Option<Instant>,
    /// How the connection ended, if it did.
    end: Arc<OnceLock<ConnectionEnd>>,
    _descriptor: Option<DescriptorPermit>,
    /// Access to the raw socket and to the first bytes of the response.
    pub tap: Arc<ResponseTap>,
}

/// How a connection ended by itself.
#[derive(Clone, Copy, Debug)]
struct ConnectionEnd {
    at: Instant,
    reason: CloseReason,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a request got no response.
pub(crate) enum SendError {
    /// The request was returned before a byte of it was written.
    Unsent,
    /// The connection ended during the call.
    ConnectionLost,
    /// The partner rejected the TLS handshake with an alert that arrived after it, before anything
    /// else: nothing that was written has been read as a request.
    Refused(String),
    /// The response can't be parsed.
    UnreadableResponse,
}

impl Connection {
    /// Opens a connection, encrypted if `tls` is given. `descriptor` is the permit for it; none for
    /// internal connections, which are counted by their fixed number.
    pub async fn open(
        address: SocketAddr, tls: Option<&Encryption>, descriptor: Option<DescriptorPermit>,
    ) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let tap = ResponseTap::new(stream, tls.is_some());
        let Some(tls) = tls else {
            return Connection::on(TappedStream::new(tap.socket(), tap.clone()), tap, descriptor).await;
        };
        let config = tls.config.borrow().clone();
        let stream = TlsConnector::from(config).connect(tls.name.clone(), tap.socket()).await?;
        Connection::on(TappedStream::new(stream, tap.clone()), tap, descriptor).await
    }

    async fn on<S: AsyncRead + AsyncWrite + Unpin + Send + 'static>(
        stream: TappedStream<S>, tap: Arc<ResponseTap>, descriptor: Option<DescriptorPermit>,
    ) -> io::Result<Connection> {
        let handshake =
            http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        // Errors reach the call in flight; between calls they only end the connection.
        let end = Arc::new(OnceLock::new());
        let end_cell = end.clone();
        let driver = tokio::spawn(async move {
            let reason = match connection.await {
                Err(error) if is_unexpected_message(&error) => CloseReason::UnexpectedBytes,
                _ => CloseReason::ClosedByTarget,
            };
            let _ = end_cell.set(ConnectionEnd { at: Instant::now(), reason });
        });
        static OPENED: AtomicU64 = AtomicU64::new(0);
        let number = OPENED.fetch_add(1, Ordering::Relaxed) + 1;
        let opened = Instant::now();
        let (idle_since, retire_at) = (opened, None);
        Ok(Connection {
            id: ConnectionId { number, earlier_calls: 0 },
            sender,
            driver,
            opened,
            idle_since,
            retire_at,
            end,
            _descriptor: descriptor,
            tap,
        })
    }

    /// Sends a request and waits for the head of its response.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        self.tap.start_request();
        self.id.earlier_calls += 1;
        let unread = async {
            self.tap.wait_for_response().await;
            sleep(HEAD_TIMEOUT).await;
        };
        tokio::select! {
            biased;
            answer = self.sender.try_send_request(request) => {
                answer.map_err(|mut error| match error.take_message() {
                    Some(_) => SendError::Unsent,
                    None if self.tap.response_started() => SendError::UnreadableResponse,
                    None => handshake_rejection(&error.into_error())
                        .map_or(SendError::ConnectionLost, SendError::Refused),
                })
            }
            // Guards against a response head without an end, which would hold the call until its
            // deadline.
            () = unread => Err(SendError::UnreadableResponse),
        }
    }

    /// Reads a response to its end. What follows it on the connection is not looked at.
    pub async fn read_body(&mut self, body: Incoming, limit: usize) -> Option<Bytes> {
        let body = Limited::new(body, limit).collect().await;
        Some(body.ok()?.to_bytes())
    }

    /// Reads a response to its end and waits until the next request may be sent.
    pub async fn finish(&mut self, body: Incoming, limit: usize) -> Option<Bytes> {
        let body = self.read_body(body, limit).await?;
        self.sender.ready().await.ok()?;
        self.idle_since = Instant::now();
        Some(body)
    }

    /// Its number and how many requests were written to it.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Logs that the connection is closed, which happens when it is dropped.
    pub fn log_close(&self, reason: CloseReason) {
        delivery_log::connection_closed(self.id, Duration::from_micros(self.idle_time()), reason);
    }

    /// How long the connection was idle when it was closed, in microseconds; up to now if that is
    /// not known.
    fn idle_time(&self) -> u64 {
        let until = self.end.get().map_or_else(Instant::now, |end| end.at);
        until.saturating_duration_since(self.idle_since).as_micros() as u64
    }

    /// Whether bytes have arrived that nobody has read. Under TLS they may be a session ticket.
    pub fn has_unasked_bytes(&self) -> bool {
        self.tap.unread() == Unread::Bytes
    }

    /// The connection as the reuse policy sees it.
    fn as_idle(&self, now: Instant) -> IdleConnection {
        let idle = now.saturating_duration_since(self.idle_since).as_micros() as u64;
        IdleConnection { used: self.id.earlier_calls > 0, idle }
    }

    /// Why the connection can't carry another call; none if it is open and nothing unexpected has
    /// arrived on it. An unread session ticket of TLS costs a handshake but no message.
    pub fn defect(&self) -> Option<CloseReason> {
        if let Some(end) = self.end.get() {
            return Some(end.reason);
        }
        match self.tap.unread() {
            Unread::Bytes => Some(CloseReason::UnexpectedBytes),
            Unread::Nothing if self.sender.is_ready() && !self.sender.is_closed() => None,
            Unread::Nothing | Unread::Record | Unread::End => Some(CloseReason::ClosedByTarget),
        }
    }

    /// Why the connection has to leave the pool, as far as that is known without a system call; none
    /// if it may stay.
    fn expiry(&self, now: Instant, max_idle: Duration) -> Option<CloseReason> {
        if let Some(end) = self.end.get() {
            return Some(end.reason);
        }
        if self.sender.is_closed() {
            return Some(CloseReason::ClosedByTarget);
        }
        if now >= self.idle_since + max_idle {
            return Some(CloseReason::IdleTooLong);
        }
        self.retire_at.filter(|at| now >= *at).map(|_| CloseReason::TooOld)
    }
}

/// Whether hyper has read bytes that answer no request. It has no predicate for this kind of error,
/// which is the only one without a predicate and without a source.
fn is_unexpected_message(error: &hyper::Error) -> bool {
    let named = error.is_parse()
        || error.is_user()
        || error.is_canceled()
        || error.is_closed()
        || error.is_incomplete_message()
        || error.is_timeout();
    !named && std::error::Error::source(error).is_none()
}

/// Returns why the partner rejected the TLS handshake, if the connection ended by an alert that
/// belongs to the handshake alone. Under TLS 1.3 a client has finished its part and sends its
/// request before the server has checked its certificate (RFC 8446, section 4.4.2.4 and appendix
/// E.1.1); a server that rejects it never reads the request.
fn handshake_rejection(error: &hyper::Error) -> Option<String> {
    let io = std::error::Error::source(error)?.downcast_ref::<io::Error>()?;
    let tls = io.get_ref()?.downcast_ref::<rustls::Error>()?;
    foldtrack_tls::is_peer_rejection(tls).then(|| foldtrack_tls::describe_error(tls))
}

/// Counts calls and resets by how long the connection had been idle before. Guards against targets
/// or middleboxes that silently drop idle connections long before the configured time: a call on
/// such a connection may have run, which ends an unsafe message, while a new connection costs only
/// a handshake.
#[derive(Debug, Default)]
struct ResetStats {
    /// Calls and resets on new connections, then for each of the [`IDLE_BUCKETS`]; decaying.
    counts: [(f64, f64); IDLE_BUCKETS.len() + 2],
}

impl ResetStats {
    /// Index of the counters for an idle time; `None` stands for a new connection.
    fn bucket(idle: Option<Duration>) -> usize {
        idle.map_or(0, |idle| 1 + IDLE_BUCKETS.iter().filter(|age| idle >= **age).count())
    }

    /// Counts a call and whether it was reset.
    fn record(&mut self, idle: Option<Duration>, reset: bool) {
        let (calls, resets) = &mut self.counts[Self::bucket(idle)];
        *calls += 1.0;
        *resets += f64::from(u8::from(reset));
    }

    /// Whether a connection with this idle time is hardly riskier than a new one.
    fn is_safe(&self, idle: Duration) -> bool {
        let share = |bucket: usize| {
            let (calls, resets) = self.counts[bucket];
            resets / (calls + PRIOR_CALLS)
        };
        share(Self::bucket(Some(idle))) <= share(0) + MAX_EXCESS_RESETS
    }

    /// Lets old counts decay; called once per second.
    fn decay(&mut self) {
        self.counts.iter_mut().for_each(|(calls, resets)| {
            (*calls, *resets) = (*calls * DECAY_PER_SECOND, *resets * DECAY_PER_SECOND)
        });
    }
}

/// The connections of one target and their statistics.
#[derive(Debug)]
struct Endpoint {
    /// Idle connections; the most recently used one is last.
    idle: Vec<Connection>,
    idle_timeout: IdleTimeout,
    preconnect: PreconnectPolicy,
    /// Calls in flight.
    in_flight: usize,
    /// Preconnect dials in progress, by number.
    dials: BTreeMap<u64, AbortHandle>,
    /// Calls that found an idle or preconnected connection, and all calls.
    without_handshake: u64,
    calls: u64,
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.dials.values().for_each(AbortHandle::abort);
    }
}

/// Connection statistics of one target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionStats {
    /// Idle connections.
    pub idle: usize,
    /// Preconnect dials in progress.
    pub dialling: usize,
    /// Share of the calls that did not wait for a handshake, 0 to 1.
    pub without_handshake: f64,
    /// Smoothed duration of a handshake.
    pub handshake: Duration,
    /// The learned idle time up to which a connection is reused.
    pub max_idle: Duration,
}

/// Settings of the pool at a site.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolSettings {
    /// Opens connections ahead of demand.
    pub preconnect: bool,
    /// Maximum number of connections to one target.
    pub max_per_target: usize,
    /// Maximum age of a connection.
    pub max_age: Duration,
    /// How long a connection rests after a call.
    pub rest: Duration,
}

/// The idle connections to targets, and what was learned of each target.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    /// Reset statistics of all targets together, used with the platform.
    reset_stats: ResetStats,
    by_target: BTreeMap<TargetId, Endpoint>,
    reuse: ReusePolicy,
    max_idle: Duration,
    max_connections: usize,
    /// Only at a site; idle timeouts are then learned per target.
    pool_settings: Option<PoolSettings>,
    clock: Clock,
}

impl ConnectionPool {
    /// Targets close a connection that has been idle for `conn_idle`. A call that meets such a
    /// close may have run, which ends an unsafe message: connections are not used in the last
    /// second before it.
    pub fn new(
        conn_idle: Duration, max_connections: usize, pool_settings: Option<PoolSettings>, clock: Clock,
    ) -> Self {
        let margin = Duration::from_secs(1).min(conn_idle / 4);
        let (reset_stats, by_target) = (ResetStats::default(), BTreeMap::new());
        let max_idle = conn_idle - margin;
        // Targets that close idle connections early leave time for reuse.
        let rest = match pool_settings {
            Some(configured) => configured.rest.as_micros() as u64,
            None => DEFAULT_REST_US.min(max_idle.as_micros() as u64 / 2),
        };
        ConnectionPool {
            reset_stats,
            by_target,
            reuse: ReusePolicy::new(rest),
            max_idle,
            max_connections,
            pool_settings,
            clock,
        }
    }

    /// The entry of a target, created if it is new.
    fn endpoint(&mut self, target: TargetId) -> &mut Endpoint {
        let configured = self.max_idle.as_micros() as u64;
        self.by_target.entry(target).or_insert_with(|| Endpoint {
            idle: Vec::new(),
            idle_timeout: IdleTimeout::new(configured),
            preconnect: PreconnectPolicy::default(),
            in_flight: 0,
            dials: BTreeMap::new(),
            without_handshake: 0,
            calls: 0,
        })
    }

    /// Takes a connection for the next call, with the time that it was idle. The call counts as in
    /// flight from now on, also when none is returned.
    pub fn take(&mut self, target: TargetId) -> Option<(Connection, Duration)> {
        self.drop_expired();
        let now = self.clock.now();
        let endpoint = self.endpoint(target);
        endpoint.in_flight += 1;
        endpoint.calls += 1;
        endpoint.preconnect.call_started(now);
        let connection = self.select(target)?;
        self.endpoint(target).without_handshake += 1;
        let idle = connection.idle_since.elapsed();
        Some((connection, idle))
    }

    /// Takes the connection that the reuse policy selects, and drops those that turn out to be of no
    /// use.
    fn select(&mut self, target: TargetId) -> Option<Connection> {
        let now = self.clock.now();
        let endpoint = self.by_target.get_mut(&target)?;
        let mut first = 0;
        if self.pool_settings.is_some() {
            // Connections that have been idle for longer stay in the pool and are watched.
            let max_idle = Duration::from_micros(endpoint.idle_timeout.max_idle(now));
            first = endpoint.idle.partition_point(|c| c.idle_since.elapsed() > max_idle);
        } else {
            endpoint.idle.retain(|c| {
                let safe = self.reset_stats.is_safe(c.idle_since.elapsed());
                if !safe {
                    c.log_close(CloseReason::IdleTooLong);
                }
                safe
            });
        }
        loop {
            let instant = Instant::now();
            let idle: Vec<_> = endpoint.idle[first..].iter().map(|c| c.as_idle(instant)).collect();
            let index = self.reuse.select(target, now, &idle)?;
            let connection = endpoint.idle.remove(first + index);
            let Some(reason) = connection.defect() else { return Some(connection) };
            connection.log_close(reason);
            match reason {
                CloseReason::UnexpectedBytes => self.reuse.unasked_response(target, now),
                _ => endpoint.idle_timeout.closed_after(connection.idle_time()),
            }
        }
    }

    /// Records that a target has sent a response that no request had asked for.
    pub fn unasked_response(&mut self, target: TargetId) {
        self.reuse.unasked_response(target, self.clock.now());
    }

    /// Records the end of a call on a connection that had been idle for `idle`, or was new and took
    /// `dialled` to open.
    pub fn call_ended(
        &mut self, target: TargetId, idle: Option<Duration>, dialled: Option<Duration>, outcome: Outcome,
    ) {
        self.reset_stats.record(idle, outcome == Outcome::Reset);
        let now = self.clock.now();
        let Some(endpoint) = self.by_target.get_mut(&target) else { return };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        let idle = idle.map(|idle| idle.as_micros() as u64);
        match (outcome, idle) {
            (Outcome::Reset, Some(idle)) => endpoint.idle_timeout.reset_after(now, idle),
            (Outcome::Ok | Outcome::Error | Outcome::Rejected, Some(idle)) => {
                endpoint.idle_timeout.answered_after(now, idle)
            }
            _ => {}
        }
        if let Some(took) = dialled {
            endpoint.preconnect.connection_opened(took.as_micros() as u64);
        }
        endpoint.preconnect.call_ended(outcome == Outcome::Ok);
    }

    /// Number of connections to open for a target ahead of demand.
    pub fn preconnects_due(&self, target: TargetId) -> usize {
        let (Some(pool_settings), Some(e)) =
            (self.pool_settings.filter(|k| k.preconnect), self.by_target.get(&target))
        else {
            return 0;
        };
        let max_idle = e.idle_timeout.max_idle(self.clock.now());
        // The clock is read once for all connections: this runs with each call.
        let (now, instant) = (self.clock.now(), Instant::now());
        let open = e.idle.iter().filter(|c| !c.sender.is_closed()).map(|c| c.as_idle(instant));
        let recent: Vec<_> = open.filter(|c| c.idle <= max_idle).collect();
        let ready = self.reuse.ready(target, now, &recent);
        let counts = ConnectionCounts {
            in_use: e.in_flight + recent.len() - ready,
            idle: ready,
            dialling: e.dials.len(),
            max: pool_settings.max_per_target,
        };
        e.preconnect.preconnects_due(self.clock.now(), counts)
    }

    /// Records that a preconnect dial has started.
    pub fn preconnect_started(&mut self, target: TargetId, number: u64, dial: AbortHandle) {
        self.endpoint(target).dials.insert(number, dial);
    }

    /// Records the end of a preconnect dial; its connection is kept if it is still of use.
    pub fn preconnect_finished(
        &mut self, target: TargetId, number: u64, opened: Option<(Connection, Duration)>,
    ) {
        let Some(endpoint) = self.by_target.get_mut(&target) else { return };
        if endpoint.dials.remove(&number).is_none() {
            return;
        }
        match opened {
            Some((connection, took)) => {
                endpoint.preconnect.connection_opened(took.as_micros() as u64);
                self.put(target, connection);
            }
            None => endpoint.preconnect.call_ended(false),
        }
    }

    /// Returns a connection to the pool; if the pool is full, the one idle for longest is dropped.
    pub fn put(&mut self, target: TargetId, mut connection: Connection) {
        if let (Some(pool_settings), None) = (self.pool_settings, connection.retire_at) {
            // Jitter, so that connections opened together do not retire together.
            let jitter = 0.75 + 0.25 * fastrand::f64();
            connection.retire_at = Some(connection.opened + pool_settings.max_age.mul_f64(jitter));
        }
        let used = connection.id.earlier_calls > 0;
        if used && self.reuse.is_single_use(target, self.clock.now()) {
            return connection.log_close(CloseReason::SingleUse);
        }
        let idle = &mut self.endpoint(target).idle;
        let position = idle.partition_point(|c| c.idle_since <= connection.idle_since);
        idle.insert(position, connection);
        if self.by_target.values().map(|e| e.idle.len()).sum::<usize>() > self.max_connections {
            self.drop_oldest();
        }
    }

    /// Drops the connection that has been idle for longest. False if there is none.
    pub fn drop_oldest(&mut self) -> bool {
        let idle = self.by_target.values_mut().map(|e| &mut e.idle).filter(|v| !v.is_empty());
        let oldest = idle.min_by_key(|v| v[0].idle_since).map(|v| v.remove(0));
        oldest.iter().for_each(|connection| connection.log_close(CloseReason::PoolFull));
        oldest.is_some()
    }

    /// Closes the idle connections of a target and aborts its dials: nothing new is sent to it.
    pub fn close(&mut self, target: TargetId) {
        let Some(endpoint) = self.by_target.remove(&target) else { return };
        endpoint.idle.iter().for_each(|connection| connection.log_close(CloseReason::TargetClosed));
    }

    /// Connection statistics of a target.
    pub fn stats(&self, target: TargetId) -> ConnectionStats {
        let Some(e) = self.by_target.get(&target) else { return ConnectionStats::default() };
        ConnectionStats {
            idle: e.idle.len(),
            dialling: e.dials.len(),
            without_handshake: if e.calls > 0 { e.without_handshake as f64 / e.calls as f64 } else { 0.0 },
            handshake: Duration::from_micros(e.preconnect.handshake()),
            max_idle: Duration::from_micros(e.idle_timeout.max_idle(self.clock.now())),
        }
    }

    /// Has to be called once per second. Returns the targets that have connections, so that the
    /// caller can check whether more are needed.
    pub fn sweep(&mut self) -> Vec<TargetId> {
        self.reset_stats.decay();
        self.reuse.sweep(self.clock.now());
        self.drop_expired();
        self.by_target.keys().copied().collect()
    }

    /// Drops connections that are closed, idle for too long, or too old. At a site the idle timeout
    /// is learned from what is seen of them.
    fn drop_expired(&mut self) {
        let (now, max_idle, learning) = (Instant::now(), self.max_idle, self.pool_settings.is_some());
        for (target, endpoint) in &mut self.by_target {
            let idle_timeout = &mut endpoint.idle_timeout;
            endpoint.idle.retain(|connection| {
                let reason = connection.expiry(now, max_idle);
                match reason {
                    Some(CloseReason::UnexpectedBytes) => {
                        self.reuse.unasked_response(*target, self.clock.now())
                    }
                    Some(CloseReason::ClosedByTarget) => idle_timeout.closed_after(connection.idle_time()),
                    _ => idle_timeout.open_after(connection.as_idle(now).idle),
                }
                reason.into_iter().for_each(|reason| connection.log_close(reason));
                reason.is_none()
            });
        }
        if !learning {
            self.by_target.retain(|_, endpoint| !endpoint.idle.is_empty() || endpoint.in_flight > 0);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn idle_times_with_resets_are_learned_and_forgotten() {
        let mut reset_stats = ResetStats::default();
        let (short, long) = (Duration::from_millis(20), Duration::from_millis(200));
        for n in 0..40 {
            // Resets at the same rate on all connections are unrelated to idle time.
            reset_stats.record(None, n % 10 == 0);
            reset_stats.record(Some(short), n % 10 == 0);
        }
        assert!(reset_stats.is_safe(short) && reset_stats.is_safe(long));
        for n in 0..8 {
            reset_stats.record(Some(long), n % 3 == 0);
        }
        assert!(!reset_stats.is_safe(long) && reset_stats.is_safe(short));
        (0..120).for_each(|_| reset_stats.decay());
        assert!(reset_stats.is_safe(long), "it is never tried again");
    }
}
