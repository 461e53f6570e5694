//! One forwarder of outbound messages on real sockets: the decisions of `hatchline` between clients, targets
//! and the platform.
#![warn(missing_docs)]

mod clients;
mod clock;
mod config;
mod connections;
mod door;
mod list;
mod message;
mod node;
mod notices;
mod platform;
mod streams;
mod table;
mod targets;

use config::Config;
use door::{Input, Inputs};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::sleep;

/// A configuration that cannot be read may be half written: it is read again so often, after such a pause.
const TRIES: u32 = 5;
const TRY_PAUSE: Duration = Duration::from_millis(50);

/// Goes over to the discovery that the configuration names, each time that SIGHUP says that it is new.
async fn reload(mut hangup: Signal, path: PathBuf, inputs: Inputs) {
    while hangup.recv().await.is_some() {
        let mut read = config::discovery(&path);
        for _ in 1..TRIES {
            if read.is_err() {
                sleep(TRY_PAUSE).await;
                read = config::discovery(&path);
            }
        }
        match read {
            Ok(address) => inputs.send(Input::Discovery(address)),
            Err(error) => eprintln!("SIGHUP: discovery stays where it is: {error}"),
        }
    }
}

async fn run(config: Config) -> Result<(), String> {
    let (inputs, receiver) = door::channel();
    let signals = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
    let hangup = signals(SignalKind::hangup())?;
    let mut terminate = signals(SignalKind::terminate())?;
    tokio::spawn(reload(hangup, config.path.clone(), inputs.clone()));
    let to_node = inputs.clone();
    tokio::spawn(async move {
        while terminate.recv().await.is_some() {
            to_node.send(Input::Terminate);
        }
    });
    let (listen, state) = (config.listen, config.state.clone());
    let end = node::run(config, inputs, receiver).await;
    end.map_err(|e| format!("listening on {listen} with the state in {}: {e}", state.display()))
}

fn main() -> ExitCode {
    let end = Config::load().and_then(|config| {
        // One thread: the forwarder has one core.
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.map_err(|e| e.to_string())?.block_on(run(config))
    });
    match end {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("foldtrack: {error}");
            ExitCode::FAILURE
        }
    }
}
