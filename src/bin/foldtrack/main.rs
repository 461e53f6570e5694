//! A forwarder of outbound messages: connects the decisions of `foldtrack_delivery` with clients, targets
//! and the platform over real sockets.
#![warn(missing_docs)]

mod blocks;
mod call;
mod cli;
mod client_connections;
mod client_server;
mod clock;
mod config;
mod connections;
mod control;
mod delivery_log;
mod descriptor_reserve;
mod descriptors;
mod discovery_schedule;
mod ends_api;
mod events;
mod list;
mod lock;
mod logs;
mod membership;
mod memory_log;
mod message;
mod message_ids;
mod message_view;
mod node;
mod notice_queue;
mod partner_protocol;
mod peers;
mod platform;
mod read_turns;
mod registry;
mod request_bodies;
mod serve;
mod streams;
mod submission;

use config::Config;
use events::{EventSender, LoopEvent};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::sleep;

/// Task polls between two looks at the sockets and timers, and so between two turns of the event loop, while tasks are ready
/// all the time.
const TASKS_PER_SOCKET_POLL: u32 = 16;
/// Attempts to read a configuration file. It may be half written when it is read.
const CONFIG_READ_ATTEMPTS: u32 = 5;
/// Pause between two attempts.
const CONFIG_READ_PAUSE: Duration = Duration::from_millis(50);

/// Moves to the discovery address in the configuration file on each SIGHUP.
async fn follow_discovery_changes(mut hangup: Signal, path: PathBuf, events: EventSender) {
    while hangup.recv().await.is_some() {
        let mut read = config::read_discovery_address(&path);
        for _ in 1..CONFIG_READ_ATTEMPTS {
            if read.is_err() {
                sleep(CONFIG_READ_PAUSE).await;
                read = config::read_discovery_address(&path);
            }
        }
        match read {
            Ok(address) => events.send(LoopEvent::DiscoveryMoved(address)),
            Err(error) => eprintln!("SIGHUP: discovery address not changed: {error}"),
        }
    }
}

async fn run(config: Config, path: PathBuf) -> Result<(), String> {
    let (events, receiver) = events::channel();
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    tokio::spawn(follow_discovery_changes(hangup, path, events.clone()));
    serve_until_signal(config, events, receiver, &[SignalKind::terminate()]).await
}

/// Runs the event loop until one of these signals is received.
async fn serve_until_signal(
    config: Config, events: EventSender, receiver: UnboundedReceiver<LoopEvent>, signals: &[SignalKind],
) -> Result<(), String> {
    for kind in signals {
        let mut received = signal(*kind).map_err(|e| format!("signals: {e}"))?;
        let to_node = events.clone();
        tokio::spawn(async move {
            while received.recv().await.is_some() {
                to_node.send(LoopEvent::Terminate);
            }
        });
    }
    let (listen, state) = (config.listen, config.state.clone());
    let end = node::run(config, events, receiver).await;
    end.map_err(|e| format!("listening on {listen} with the state in {}: {e}", state.display()))
}

/// Creates a single-threaded runtime: the forwarder has one core.
fn runtime() -> Result<Runtime, String> {
    Builder::new_current_thread()
        .event_interval(TASKS_PER_SOCKET_POLL)
        .enable_all()
        .build()
        .map_err(|e| e.to_string())
}

/// Runs as a platform starts it: without arguments, configured by environment variables.
fn serve_platform() -> ExitCode {
    logs::start();
    let end = Config::from_platform_env().and_then(|(config, path)| runtime()?.block_on(run(config, path)));
    match end {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("foldtrack: {error}");
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    if std::env::args_os().len() > 1 {
        return cli::main();
    }
    if std::env::var_os("BALANCER_CONFIG").is_none() {
        eprintln!("foldtrack: BALANCER_CONFIG is not set. A platform sets it; to run a site of your own:");
        eprintln!(
            "  foldtrack init site.toml && foldtrack serve --site site.toml     (see foldtrack --help)"
        );
        return ExitCode::FAILURE;
    }
    serve_platform()
}
