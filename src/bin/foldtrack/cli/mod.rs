//! The command line interface.
//!
//! Exit codes: 0 success, 1 the command failed, 2 the arguments or the site file are invalid, 3 no
//! forwarder runs on the state folder, 4 the forwarder refused the order.

mod demo;
mod emulate;
mod ends;
mod fleet;
mod journal;
mod keys;
mod load;
mod orders;
mod partner;
mod peers;
mod send;
mod show;

use crate::clock::Clock;
use crate::serve;
use clap::{Args, Parser, Subcommand};
use foldtrack_control::{Client, ClientError, ControlCommand, ControlResponse};
use foldtrack_site::{template::TEMPLATE, Site, CONTROL_SOCKET};
use std::fs::OpenOptions;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_NOT_RUNNING: u8 = 3;
const EXIT_REFUSED: u8 = 4;

/// Forwards outbound messages to partners: each is delivered as its class allows, in order where
/// required, and a payment never twice
#[derive(Parser)]
#[command(
    name = "foldtrack",
    version,
    after_help = "Exit codes: 0 success, 1 failure, 2 invalid arguments or site \
file,\n3 no forwarder runs on the state folder, 4 the forwarder refused the order."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a forwarder in the foreground; SIGTERM or `stop` ends it
    Serve {
        /// The site file
        #[arg(long, default_value = "site.toml")]
        site: PathBuf,
        /// Simulates a full disk: the journal and the stored outcomes may use no more bytes in the
        /// state folder than this file says. The file is read again whenever space is needed
        #[arg(long, value_name = "FILE")]
        disk_budget: Option<PathBuf>,
        /// For tests: shifts the wall clock by this many seconds, forward or back
        #[arg(
            long,
            value_name = "SECONDS",
            default_value_t = 0.0,
            allow_negative_numbers = true,
            hide = true
        )]
        clock_offset: f64,
        /// For tests: runs every clock of the process faster by this factor
        #[arg(long, value_name = "FACTOR", default_value_t = 1.0, hide = true)]
        clock_rate: f64,
        /// Exits when standard input is closed, so that the forwarder ends with the process that
        /// started it
        #[arg(long, hide = true)]
        end_with_input: bool,
    },
    /// Checks a site file and reports every problem
    Check {
        /// The site file
        #[arg(default_value = "site.toml")]
        site: PathBuf,
    },
    /// Lists the certificates and secrets used with each partner and when they expire; no secret is
    /// shown
    Keys {
        /// The site file
        #[arg(default_value = "site.toml", env = "FOLDTRACK_SITE")]
        site: PathBuf,
    },
    /// Tests the connection to a partner
    Partner(partner::Partner),
    /// Writes a commented site file as a starting point
    Init {
        /// The file to write; `-` for standard output
        #[arg(default_value = "site.toml")]
        file: PathBuf,
    },
    /// Shows the state of the forwarder as a whole
    Status(ControlArgs),
    /// Lists the partners, with the messages held for them and how they respond
    Partners(ControlArgs),
    /// Lists the endpoints, with calls in flight, waits and the progress of drains
    Endpoints(ControlArgs),
    /// Lists the held messages by partner and key, longest queue first
    Queues {
        /// Show only this partner
        #[arg(long)]
        partner: Option<String>,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Lists recent failed attempts and what was done about them
    Failures {
        /// Maximum number of lines
        #[arg(long, default_value_t = 50)]
        most: u32,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Shows the history of one message
    Message {
        /// The message's X-Request-Id
        id: String,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Stops new calls to an endpoint; calls in flight may finish
    Drain {
        /// The endpoint
        endpoint: String,
        /// Wait until no call is in flight
        #[arg(long)]
        wait: bool,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Resumes calls to a drained endpoint or a paused partner
    Resume {
        /// The endpoint or partner
        name: String,
        /// The name is a partner's, even if an endpoint has the same name
        #[arg(long)]
        partner: bool,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Stops new calls to a partner; messages for it are still accepted and wait, up to their
    /// deadlines
    Pause {
        /// The partner
        partner: String,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Adds an endpoint to a partner
    Add {
        /// The partner
        partner: String,
        /// The new endpoint's name
        endpoint: String,
        /// Address and port
        address: String,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Removes an endpoint
    Remove {
        /// The endpoint
        endpoint: String,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Submits messages from JSON lines and reports their outcomes
    Send(send::Send),
    /// Writes message outcomes as JSON lines, and acknowledges them
    Ends(ends::Ends),
    /// Inspects the journal of a state folder, read-only
    Journal(journal::Journal),
    /// Demonstrates a forwarder with failing partners, and checks the delivery rules against the
    /// partners' call records
    Demo(demo::Demo),
    /// Load test: sends messages at a given rate to simulated partners with given failures, and
    /// reports the outcomes
    #[command(subcommand)]
    Load(load::Load),
    /// Lists the clients by address, with refused requests and blocks
    Clients {
        /// Maximum number of lines
        #[arg(long, default_value_t = 50)]
        most: u32,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Rejects connections from an address or network for a while
    Block {
        /// An address, or a network such as 192.0.2.0/24
        network: String,
        /// Duration of the block, such as 10m or 2h
        #[arg(long = "for", default_value = "10m", value_parser = humantime::parse_duration)]
        duration: std::time::Duration,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Ends a block
    Unblock {
        /// The address or network, as given to `block`
        network: String,
        #[command(flatten)]
        control: ControlArgs,
    },
    /// Runs several forwarders as processes, with network faults between them
    #[command(subcommand)]
    Fleet(fleet::Fleet),
    /// Simulates a fleet: compares the program's scheduler with baseline policies on the same seeds
    Emulate(emulate::Emulate),
    /// Lists the other forwarders of the site and their membership status
    Peers(ControlArgs),
    /// Shows the operator orders in force on the site
    #[command(subcommand)]
    State(peers::State),
    /// Stops the forwarder; messages that it holds are resumed at its next start
    Stop(ControlArgs),
}

/// Which forwarder a command addresses, and the output format.
#[derive(Args, Clone)]
struct ControlArgs {
    /// The site file of the forwarder
    #[arg(long, default_value = "site.toml", env = "FOLDTRACK_SITE")]
    site: PathBuf,
    /// The forwarder's state folder, instead of the one named in the site file
    #[arg(long, env = "FOLDTRACK_STATE")]
    state: Option<PathBuf>,
    /// Print one JSON object
    #[arg(long)]
    json: bool,
}

/// Why a command failed: the exit code, and the text for standard error.
struct CommandError(u8, String);

/// The result of a command.
type CommandResult = Result<(), CommandError>;

impl From<ClientError> for CommandError {
    fn from(error: ClientError) -> Self {
        let code = match error {
            ClientError::NotRunning(_) => EXIT_NOT_RUNNING,
            ClientError::Refused(_) => EXIT_REFUSED,
            ClientError::Connection(_) => EXIT_FAILED,
        };
        CommandError(code, error.to_string())
    }
}

impl ControlArgs {
    /// Connects to the control socket.
    fn connect(&self) -> Result<Client, CommandError> {
        let socket = match &self.state {
            Some(state) => state.join(CONTROL_SOCKET),
            None => load(&self.site)?.control_socket(),
        };
        Ok(Client::connect(&socket)?)
    }

    /// Sends one command and prints the response.
    fn show(&self, command: ControlCommand) -> CommandResult {
        let response = self.connect()?.request(command)?;
        self.print(&response)
    }

    /// Prints a response as text or JSON.
    fn print(&self, response: &ControlResponse) -> CommandResult {
        if self.json {
            let text =
                serde_json::to_string(response).map_err(|e| CommandError(EXIT_FAILED, e.to_string()))?;
            return print(&format!("{text}\n"));
        }
        print(&show::render(response))
    }
}

/// Writes to standard output. A closed pipe is not an error: the reader may stop early.
fn print(text: &str) -> CommandResult {
    let mut out = std::io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(e) if e.kind() != std::io::ErrorKind::BrokenPipe => {
            Err(CommandError(EXIT_FAILED, format!("standard output: {e}")))
        }
        _ => Ok(()),
    }
}

/// Reads a site file; the error lists every problem.
fn load(path: &Path) -> Result<Site, CommandError> {
    foldtrack_site::load(path).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        CommandError(EXIT_USAGE, lines.join("\n"))
    })
}

/// Parses the command line, runs the command and returns its exit code.
pub(crate) fn main() -> ExitCode {
    let result = run(Cli::parse().command);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError(code, text)) => {
            if !text.is_empty() {
                eprintln!("{text}");
            }
            ExitCode::from(code)
        }
    }
}

/// Runs a command.
fn run(command: Command) -> CommandResult {
    match command {
        Command::Serve { site, disk_budget, clock_offset, clock_rate, end_with_input } => {
            Clock::simulate(clock_offset, clock_rate).map_err(|e| CommandError(EXIT_USAGE, e)).and_then(
                |()| {
                    if end_with_input {
                        std::thread::spawn(|| {
                            // The input itself is ignored; only its end matters.
                            let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
                            std::process::exit(i32::from(EXIT_FAILED));
                        });
                    }
                    let result = serve::serve(load(&site)?, disk_budget.as_deref());
                    result.map_err(|e| CommandError(EXIT_FAILED, format!("foldtrack: {e}")))
                },
            )
        }
        Command::Check { site } => {
            let config = load(&site)?;
            let endpoints: usize = config.partners.iter().map(|p| p.endpoints.len()).sum();
            let (classes, partners) = (config.classes.len(), config.partners.len());
            let path = site.display();
            print(&format!("{path}: valid: {classes} classes, {partners} partners, {endpoints} endpoints\n"))
        }
        Command::Keys { site } => keys::keys(&site),
        Command::Partner(args) => partner::partner(&args),
        Command::Init { file } => init(&file),
        Command::Status(control) => control.show(ControlCommand::Status),
        Command::Partners(control) => control.show(ControlCommand::Partners),
        Command::Endpoints(control) => control.show(ControlCommand::Endpoints),
        Command::Queues { partner, control } => control.show(ControlCommand::Queues { partner, most: None }),
        Command::Failures { most, control } => control.show(ControlCommand::Failures { most: Some(most) }),
        Command::Message { id, control } => control.show(ControlCommand::Message { message: id }),
        Command::Drain { endpoint, wait, control } => orders::drain(&control, &endpoint, wait),
        Command::Resume { name, partner, control } => orders::resume(&control, &name, partner),
        Command::Pause { partner, control } => orders::order(&control, ControlCommand::Pause { partner }),
        Command::Add { partner, endpoint, address, control } => {
            orders::order(&control, ControlCommand::Add { partner, endpoint, address })
        }
        Command::Remove { endpoint, control } => orders::order(&control, ControlCommand::Remove { endpoint }),
        Command::Clients { most, control } => control.show(ControlCommand::Clients { most: Some(most) }),
        Command::Block { network, duration, control } => {
            orders::order(&control, ControlCommand::Block { network, for_ms: duration.as_millis() as u64 })
        }
        Command::Unblock { network, control } => orders::order(&control, ControlCommand::Unblock { network }),
        Command::Send(args) => send::send(&args),
        Command::Ends(args) => ends::ends(&args),
        Command::Journal(args) => journal::journal(&args),
        Command::Demo(args) => demo::demo(&args),
        Command::Load(args) => load::load(&args),
        Command::Fleet(args) => fleet::fleet(&args),
        Command::Emulate(args) => emulate::emulate(&args),
        Command::Peers(control) => control.show(ControlCommand::Peers),
        Command::State(args) => peers::state(&args),
        Command::Stop(control) => orders::stop(&control),
    }
}

/// Writes the template of a site file.
fn init(path: &Path) -> CommandResult {
    if path == Path::new("-") {
        return print(TEMPLATE);
    }
    let path_text = path.display();
    // An existing file is never overwritten.
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(path)
        .map_err(|e| CommandError(EXIT_FAILED, format!("{path_text}: {e}")))?;
    file.write_all(TEMPLATE.as_bytes())
        .map_err(|e| CommandError(EXIT_FAILED, format!("{path_text}: {e}")))?;
    print(&format!("{path_text} has been written. Enter your partners, then run:\n  foldtrack check {path_text}\n  foldtrack serve --site {path_text}\n"))
}
