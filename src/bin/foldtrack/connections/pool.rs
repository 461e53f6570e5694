//! The idle connections of each target, and what was learned of them. The decisions are those of
//! `foldtrack_pool`.

use super::reset_stats::ResetStats;
use super::Connection;
use crate::clock::Clock;
use crate::delivery_log::CloseReason;
use foldtrack_delivery::{Outcome, TargetId};
use foldtrack_pool::reuse::DEFAULT_REST_US;
use foldtrack_pool::{ConnectionCounts, IdleTimeout, PreconnectPolicy, ReusePolicy};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

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
                CloseReason::TooMuchBeforeResponse => {}
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

    /// Closes the idle connections of a target and aborts its dials: they lead to a process that has ended.
    pub fn drop_idle(&mut self, target: TargetId) {
        let Some(endpoint) = self.by_target.get_mut(&target) else { return };
        endpoint.idle.drain(..).for_each(|connection| connection.log_close(CloseReason::TargetRestarted));
        std::mem::take(&mut endpoint.dials).values().for_each(AbortHandle::abort);
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
