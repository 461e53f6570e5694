//! How many file descriptors a process needs at once beside those of clients and calls.
//!
//! Each user states its own maximum where it opens files or sockets. The sums here are set aside, so
//! that clients and calls never take what a notice, the list of targets or a record needs.

use crate::client_connections::MAX_LINGERING;
use crate::{notice_queue, peers, platform};
use foldtrack_journal::disk;
use foldtrack_journal::journal::MAX_DURABLE_DESCRIPTORS;

/// Standard input, output and error.
const STANDARD_STREAMS: usize = 3;
/// Two descriptors of the epoll instance, one to wake it up, and a pair of sockets by which signal
/// handlers reach the runtime, with a copy of one.
const RUNTIME: usize = 6;
/// The listener of clients and the spare descriptor of its accept loop.
const LISTENER: usize = 2;
/// A client that was accepted and is not admitted yet, and those that were asked to close.
const LEAVING_CLIENTS: usize = MAX_LINGERING + 1;
/// A configuration file or certificate that is read again.
const CONFIGURATION_FILE: usize = 1;
/// Whatever the deployment.
const COMMON: usize = STANDARD_STREAMS + RUNTIME + LISTENER + LEAVING_CLIENTS + CONFIGURATION_FILE;

/// Connections to the platform.
const PLATFORM_CONNECTIONS: usize = platform::MAX_WATCHES + notice_queue::MAX_PARALLEL_REPORTS;
/// The reserve of a process that a platform runs.
pub(crate) const PLATFORM_RESERVE: usize = COMMON + PLATFORM_CONNECTIONS + disk::MAX_DESCRIPTORS;

/// The control socket; the runtime of its thread, which shares the pair of sockets for signals; and a file of the kernel's
/// statistics.
const CONTROL_THREAD: usize = 1 + 4 + 1;
/// Control connections that nobody else can take the descriptors of, and one that makes room for another.
pub(crate) const CONTROL_CONNECTIONS: usize = 8;
const LEAVING_CONTROL_CONNECTIONS: usize = 1;
/// The lock file; the membership log, its rewritten copy, and the handle of its sync.
const LOCK_AND_MEMBERSHIP: usize = 1 + 3;
/// The list of blocked networks while it is written.
const BLOCKS: usize = 1;
/// The reserve of a process that runs a site file, whether or not it has peers and is durable.
pub(crate) const SITE_RESERVE: usize = COMMON
    + MAX_DURABLE_DESCRIPTORS
    + foldtrack_ends::MAX_DESCRIPTORS
    + CONTROL_THREAD
    + CONTROL_CONNECTIONS
    + LEAVING_CONTROL_CONNECTIONS
    + LOCK_AND_MEMBERSHIP
    + BLOCKS
    + peers::MAX_DESCRIPTORS;
/// The part of it without which a site's process does not start.
pub(crate) const SITE_MINIMUM: usize = 32;
