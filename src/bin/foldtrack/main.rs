//! One forwarder of outbound messages on real sockets: the decisions of `foldtrack_delivery` between clients, targets
//! and the platform.
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
mod descriptors;
mod discovery_schedule;
mod ends_api;
mod events;
mod list;
mod lock;
mod logs;
mod membership;
mod message;
mod message_view;
mod node;
mod notice_queue;
mod partner_protocol;
mod peers;
mod platform;
mod registry;
mod serve;
mod streams;

use config::Config;
use events::{EventSender, LoopEvent};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::sleep;

/// A configuration that cannot be read may be half written: it is read again so often, after such a pause.
const TRIES: u32 = 5;
const TRY_PAUSE: Duration = Duration::from_millis(50);

/// Goes over to the discovery that the configuration names, each time that SIGHUP says that it is new.
async fn reload(mut hangup: Signal, path: PathBuf, events: EventSender) {
    while hangup.recv().await.is_some() {
        let mut read = config::discovery(&path);
        for _ in 1..TRIES {
            if read.is_err() {
                sleep(TRY_PAUSE).await;
                read = config::discovery(&path);
            }
        }
        match read {
            Ok(address) => events.send(LoopEvent::DiscoveryMoved(address)),
            Err(error) => eprintln!("SIGHUP: discovery stays where it is: {error}"),
        }
    }
}

async fn run(config: Config, path: PathBuf) -> Result<(), String> {
    let (events, receiver) = events::channel();
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    tokio::spawn(reload(hangup, path, events.clone()));
    serve_until_signal(config, events, receiver, &[SignalKind::terminate()]).await
}

/// Runs the loop, and ends it at one of these signals.
async fn serve_until_signal(
    config: Config, events: EventSender, receiver: UnboundedReceiver<LoopEvent>, ends: &[SignalKind],
) -> Result<(), String> {
    for kind in ends {
        let mut told = signal(*kind).map_err(|e| format!("signals: {e}"))?;
        let to_node = events.clone();
        tokio::spawn(async move {
            while told.recv().await.is_some() {
                to_node.send(LoopEvent::Terminate);
            }
        });
    }
    let (listen, state) = (config.listen, config.state.clone());
    let end = node::run(config, events, receiver).await;
    end.map_err(|e| format!("listening on {listen} with the state in {}: {e}", state.display()))
}

/// One thread: the forwarder has one core.
fn runtime() -> Result<Runtime, String> {
    Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())
}

/// As the platform starts it: without a word, all that it is told stands in the environment.
fn serve_platform() -> ExitCode {
    let end = Config::of_platform().and_then(|(config, path)| runtime()?.block_on(run(config, path)));
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
        eprintln!(
            "foldtrack: BALANCER_CONFIG is not set, by which a platform starts it; for a site of your own:"
        );
        eprintln!("  foldtrack init site.toml && foldtrack serve --site site.toml     (foldtrack --help tells more)");
        return ExitCode::FAILURE;
    }
    serve_platform()
}
