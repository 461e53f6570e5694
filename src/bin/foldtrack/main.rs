//! One forwarder of outbound messages on real sockets: the decisions of `hatchline` between clients, targets
//! and the platform.
#![warn(missing_docs)]

mod clients;
mod config;
mod journal;
mod node;
mod platform;
mod targets;

use config::Config;
use node::Input;
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};

async fn run(config: Config) -> Result<(), String> {
    let (inputs, receiver) = node::channel();
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
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
