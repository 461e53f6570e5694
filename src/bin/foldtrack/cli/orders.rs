//! Commands that send an order to the forwarder, and follow its progress.

use super::{print, CommandError, CommandResult, ControlArgs, EXIT_FAILED};
use foldtrack_control::{Client, ClientError, ControlCommand, ControlResponse};
use std::time::{Duration, Instant};

/// How long `stop` waits for the process to end. The forwarder gives calls in flight 3.3 s.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Sends an order and prints the response.
pub(super) fn order(control: &ControlArgs, command: ControlCommand) -> CommandResult {
    let response = control.connect()?.request(command)?;
    control.print(&response)
}

/// Drains an endpoint; with `wait`, returns only when no call is in flight.
pub(super) fn drain(control: &ControlArgs, endpoint: &str, wait: bool) -> CommandResult {
    let mut client = control.connect()?;
    let response = client.request(ControlCommand::Drain { endpoint: endpoint.to_string() })?;
    if !wait {
        return control.print(&response);
    }
    loop {
        let ControlResponse::Endpoints(endpoints) = client.request(ControlCommand::Endpoints)? else {
            return Err(CommandError(EXIT_FAILED, "unexpected response from the forwarder".into()));
        };
        match endpoints.iter().find(|e| e.name == endpoint) {
            Some(stats) if stats.calls > 0 => {
                if !control.json {
                    eprintln!("{endpoint}: {} calls still in flight", stats.calls);
                }
            }
            _ => return control.print(&response),
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Resumes the endpoint of this name; a partner if `partner` is set or there is no such endpoint.
pub(super) fn resume(control: &ControlArgs, name: &str, partner: bool) -> CommandResult {
    let mut client = control.connect()?;
    let resume_partner = ControlCommand::Resume { endpoint: None, partner: Some(name.to_string()) };
    let resume_endpoint = ControlCommand::Resume { endpoint: Some(name.to_string()), partner: None };
    if partner || !has_endpoint(&mut client, name)? {
        return control.print(&client.request(resume_partner)?);
    }
    control.print(&client.request(resume_endpoint)?)
}

/// Whether the site has an endpoint of this name.
fn has_endpoint(client: &mut Client, name: &str) -> Result<bool, ClientError> {
    match client.request(ControlCommand::Endpoints)? {
        ControlResponse::Endpoints(endpoints) => Ok(endpoints.iter().any(|e| e.name == name)),
        _ => Ok(false),
    }
}

/// Stops the forwarder and waits until its process has ended.
pub(super) fn stop(control: &ControlArgs) -> CommandResult {
    let mut client = control.connect()?;
    let response = client.request(ControlCommand::Stop)?;
    let deadline = Instant::now() + STOP_TIMEOUT;
    // The control connection closes when the process ends.
    while client.request(ControlCommand::Status).is_ok() {
        if Instant::now() > deadline {
            return Err(CommandError(
                EXIT_FAILED,
                format!("the forwarder has not stopped within {STOP_TIMEOUT:?}"),
            ));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    if control.json {
        return control.print(&response);
    }
    print("stopped; held messages are resumed at the next start\n")
}
