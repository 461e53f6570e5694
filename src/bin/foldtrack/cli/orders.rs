//! Orders over the control line, and their progress.

use super::{say, Asked, Ended, Failure, FAILED};
use foldtrack_control::{Client, ClientError, ControlCommand, ControlResponse};
use std::time::{Duration, Instant};

/// A process that was told to stop has gone by then: it gives calls that are out 3.3 s.
const STOPPED_WITHIN: Duration = Duration::from_secs(15);
const LOOK_AGAIN: Duration = Duration::from_millis(200);

pub(super) fn order(asked: &Asked, ask: ControlCommand) -> Ended {
    let told = asked.connect()?.request(ask)?;
    asked.print(&told)
}

pub(super) fn drain(asked: &Asked, endpoint: &str, wait: bool) -> Ended {
    let mut client = asked.connect()?;
    let told = client.request(ControlCommand::Drain { endpoint: endpoint.to_string() })?;
    if !wait {
        return asked.print(&told);
    }
    loop {
        let ControlResponse::Endpoints(endpoints) = client.request(ControlCommand::Endpoints)? else {
            return Err(Failure(FAILED, "the forwarder answers something else than it was asked".into()));
        };
        match endpoints.iter().find(|e| e.name == endpoint) {
            Some(line) if line.calls > 0 => {
                if !asked.json {
                    eprintln!("{endpoint}: {} calls still out", line.calls);
                }
            }
            _ => return asked.print(&told),
        }
        std::thread::sleep(LOOK_AGAIN);
    }
}

/// Resumes an endpoint, or a partner where no endpoint has the name.
pub(super) fn resume(asked: &Asked, name: &str, partner: bool) -> Ended {
    let mut client = asked.connect()?;
    let of_partner = ControlCommand::Resume { endpoint: None, partner: Some(name.to_string()) };
    let of_endpoint = ControlCommand::Resume { endpoint: Some(name.to_string()), partner: None };
    if partner || !has_endpoint(&mut client, name)? {
        return asked.print(&client.request(of_partner)?);
    }
    asked.print(&client.request(of_endpoint)?)
}

fn has_endpoint(client: &mut Client, name: &str) -> Result<bool, ClientError> {
    match client.request(ControlCommand::Endpoints)? {
        ControlResponse::Endpoints(endpoints) => Ok(endpoints.iter().any(|e| e.name == name)),
        _ => Ok(false),
    }
}

pub(super) fn stop(asked: &Asked) -> Ended {
    let mut client = asked.connect()?;
    let told = client.request(ControlCommand::Stop)?;
    let by = Instant::now() + STOPPED_WITHIN;
    // The line ends with the process.
    while client.request(ControlCommand::Status).is_ok() {
        if Instant::now() > by {
            return Err(Failure(FAILED, format!("the forwarder has not ended within {STOPPED_WITHIN:?}")));
        }
        std::thread::sleep(LOOK_AGAIN);
    }
    if asked.json {
        return asked.print(&told);
    }
    say("stopped; what is held is taken up at the next start\n")
}
